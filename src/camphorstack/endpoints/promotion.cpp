#include "camphorstack/endpoints/promotion.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/pool.hpp"
#include "camphorstack/endpoints/reports.hpp"
#include "camphorstack/endpoints/suspicion.hpp"
#include "camphorstack/endpoints/terms.hpp"

namespace camphorstack {

namespace {

/// Another host may be in the middle of a promotion: leaves it the time to finish.
bool is_other_promotion_over(const group_step& step) {
    const auto& state = step.state;
    return state.highest_term <= state.primary.term || state.highest_term == state.attempted_term ||
           step.now - state.highest_term_since >= state.settings.suspect_after;
}

bool has_instance_above(const group_state& state, term_number term) {
    return std::any_of(state.instances.begin(), state.instances.end(),
                       [term](const auto& entry) { return entry.second.up && entry.second.term > term; });
}

/// Why the group needs another primary, or an empty text.
std::string promotion_reason(const group_step& step) {
    const auto& state = step.state;
    const auto* primary = find_instance(state, state.primary.id);
    if (primary == nullptr || !state.primary.serving) {
        const bool looked = step.now - state.duty_since >= state.settings.suspect_after;
        return looked || instances_up(state) == state.instances.size() ? "no_primary" : "";
    }
    if (!primary->up) {
        return "primary_lost";
    }
    // Instances with a higher term refuse to follow, so they no longer confirm writes.
    return has_instance_above(state, state.primary.term) ? "term_split" : "";
}

void abandon_promotion(group_step& step, const std::string& cause) {
    auto& state = step.state;
    const auto term = state.promotion->term;
    ++state.failed_promotions;
    const millis spread{static_cast<std::int64_t>(term * 83) % promotion_backoff_spread};
    constexpr int largest_backoff_factor = 4;
    state.next_promotion = step.now + promotion_backoff + spread * std::min(state.failed_promotions, largest_backoff_factor);
    state.promotion.reset();
    state.switchover.reset();
    record_decision(step, "promotion_abandoned", "term=" + std::to_string(term) + " cause=" + cause);
}

group_connection* idle_control(group_state& state, const group_instance& instance) {
    const auto found = state.connections.find(instance.control);
    const bool idle = found != state.connections.end() && found->second.ready && !found->second.call;
    return idle ? &found->second : nullptr;
}

void send_term(group_step& step, const group_instance& instance, endpoint_operation operation, call_purpose purpose) {
    if (auto* connection = idle_control(step.state, instance)) {
        endpoint_call call;
        call.operation = operation;
        call.term = step.state.promotion->term;
        start_call(step, *connection, std::move(call), purpose, step.state.settings.fence_timeout);
    }
}

std::string describe(const group_promotion& promotion) {
    std::string text = "reason=" + promotion.reason + " term=" + std::to_string(promotion.term) +
                       " silence_ms=" + std::to_string(promotion.silence.count) + " fenced=";
    for (const auto& [id, position] : promotion.fenced) {
        text += (text.back() == '=' ? "" : ",") + id + "@" + std::to_string(position.term) + "." + std::to_string(position.index);
    }
    return text + " chosen=" + promotion.chosen;
}

/// The highest position holds every acknowledged write; among equal ones, an instance that may keep the role.
endpoint_id choose_successor(const group_state& state) {
    const auto& promotion = *state.promotion;
    const auto rank = [&](const auto& entry) {
        const auto& instance = state.instances.at(entry.first);
        return std::tuple(entry.second, entry.first == promotion.preferred, instance.up, instance.usable,
                          entry.first == state.primary.id);
    };
    return std::max_element(promotion.fenced.begin(), promotion.fenced.end(),
                            [&](const auto& a, const auto& b) { return rank(a) < rank(b); })
        ->first;
}

void choose_when_fenced(group_step& step) {
    auto& promotion = *step.state.promotion;
    if (promotion.fenced.size() < majority(step.state)) {
        return;
    }
    promotion.majority_at = promotion.majority_at.value_or(step.now);
    const bool preferred_fenced = promotion.preferred.empty() || promotion.fenced.contains(promotion.preferred);
    if (preferred_fenced || step.now - *promotion.majority_at >= step.state.settings.fence_timeout) {
        promotion.chosen = choose_successor(step.state);
        promotion.chosen_at = step.now;
    }
}

void promote_chosen(group_step& step) {
    const auto& promotion = *step.state.promotion;
    const auto* chosen = find_instance(step.state, promotion.chosen);
    const auto limit = step.state.settings.fence_timeout * promote_attempts;
    if (chosen == nullptr || !chosen->up || step.now - promotion.chosen_at >= limit) {
        abandon_promotion(step, "chosen_lost");
        return;
    }
    send_term(step, *chosen, endpoint_operation::promote, call_purpose::promote);
}

void continue_promotion(group_step& step) {
    auto& promotion = *step.state.promotion;
    if (step.state.highest_term > promotion.term) {
        abandon_promotion(step, "higher_term");
        return;
    }
    for (const auto& [id, instance] : step.state.instances) {
        if (promotion.chosen.empty() && !promotion.fenced.contains(id)) {
            send_term(step, instance, endpoint_operation::fence, call_purpose::fence);
        }
    }
    if (promotion.chosen.empty()) {
        choose_when_fenced(step);
    }
    if (!promotion.chosen.empty()) {
        promote_chosen(step);
    }
}

}  // namespace

void run_promotion(group_step& step) {
    auto& state = step.state;
    if (state.duty != group_duty::owner) {
        state.promotion.reset();
        return;
    }
    if (!state.promotion) {
        const auto reason = promotion_reason(step);
        const bool possible = has_usable_term(state) && instances_up(state) >= majority(state);
        if (reason.empty() || !possible || step.now < state.next_promotion || !is_other_promotion_over(step)) {
            return;
        }
        start_promotion(step, reason, "");
    }
    continue_promotion(step);
}

void start_promotion(group_step& step, const std::string& reason, const endpoint_id& preferred) {
    auto& state = step.state;
    group_promotion promotion;
    promotion.term = take_term(state);
    promotion.reason = reason;
    promotion.preferred = preferred;
    promotion.started = step.now;
    if (const auto* primary = find_instance(state, state.primary.id)) {
        promotion.silence = silence_duration(*primary, step.now);
    }
    state.attempted_term = promotion.term;
    state.promotion = std::move(promotion);
}

void finish_promotion(group_step& step) {
    auto& state = step.state;
    if (!state.promotion || state.promotion->term > state.primary.term) {
        return;
    }
    if (state.promotion->term == state.primary.term) {
        const bool planned = !state.promotion->preferred.empty();
        record_decision(step, planned ? "switchover" : "promotion",
                        describe(*state.promotion) + " took_ms=" + std::to_string((step.now - state.promotion->started).count));
    }
    state.failed_promotions = 0;
    state.promotion.reset();
}

void handle_fence_answer(group_step& step, const endpoint_id& target, term_number term, const endpoint_answer& answer) {
    auto& promotion = step.state.promotion;
    const bool current = promotion && promotion->term == term;
    if (current && answer.failure == endpoint_error::none && answer.term == term && step.state.instances.contains(target)) {
        promotion->fenced[target] = answer.position;
    }
}

void handle_promote_answer(group_step& step, term_number term, const endpoint_answer& answer) {
    if (step.state.promotion && step.state.promotion->term == term && answer.failure == endpoint_error::refused_term) {
        abandon_promotion(step, "promote_refused");
    }
}

}  // namespace camphorstack
