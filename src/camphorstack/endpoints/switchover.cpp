#include "camphorstack/endpoints/switchover.hpp"

#include <algorithm>

#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/promotion.hpp"
#include "camphorstack/endpoints/reports.hpp"
#include "camphorstack/endpoints/terms.hpp"
#include "camphorstack/endpoints/transactions.hpp"

namespace camphorstack {

bool is_write_held(const group_state& state, bool begins) {
    return state.switchover && (begins || state.switchover->writes_held_since);
}

namespace {

/// The usable replica that is closest to the primary, or null if none is close enough.
const group_instance* find_successor(const group_state& state) {
    const group_instance* best = nullptr;
    for (const auto& [id, instance] : state.instances) {
        const bool suitable = instance.usable && instance.up && id != state.primary.id && instance.term == state.primary.term &&
                              instance.replication_age <= replica_age_limit;
        if (suitable && (best == nullptr || instance.position > best->position)) {
            best = &instance;
        }
    }
    return best;
}

bool is_drained(const group_state& state) {
    const bool running = std::any_of(state.connections.begin(), state.connections.end(), [](const auto& entry) {
        return entry.second.call && entry.second.call->call.write && entry.second.call->request;
    });
    return !running && state.unacknowledged.empty() && state.transactions.empty();
}

void postpone_switchover(group_step& step) {
    step.state.switchover.reset();
    step.state.next_switchover = step.now + switchover_backoff;
}

/// Holds plain writes once transactions have ended, or when they take too long to keep the endpoint in use.
void hold_writes(group_step& step, const group_instance& primary) {
    auto& switchover = *step.state.switchover;
    const bool waited = step.now - primary.unusable_since >= leaving_write_time;
    if (!switchover.writes_held_since && (waited || count_transactions(step.state, primary.config.id) == 0)) {
        switchover.writes_held_since = step.now;
    }
}

void move_when_caught_up(group_step& step, const group_instance& primary, const group_instance& successor) {
    auto& switchover = *step.state.switchover;
    if (!is_drained(step.state)) {
        return;
    }
    switchover.drained_since = switchover.drained_since.value_or(step.now);
    const bool final_position = primary.report_requested_at >= *switchover.drained_since;
    if (final_position && successor.position >= primary.position) {
        start_promotion(step, "switchover", successor.config.id);
    } else if (step.now - *switchover.drained_since >= switchover_catch_up_timeout) {
        postpone_switchover(step);
    }
}

}  // namespace

void run_switchover(group_step& step) {
    auto& state = step.state;
    const auto* primary = serving_primary(state);
    if (state.duty != group_duty::owner || state.promotion || primary == nullptr || primary->usable) {
        if (!state.promotion) {
            state.switchover.reset();
        }
        return;
    }
    const auto* successor = find_successor(state);
    if (successor == nullptr || !has_usable_term(state) || step.now < state.next_switchover) {
        state.switchover.reset();
        return;
    }
    if (!state.switchover) {
        state.switchover = group_switchover{step.now, successor->config.id, std::nullopt, std::nullopt};
    }
    hold_writes(step, *primary);
    if (state.switchover->writes_held_since) {
        move_when_caught_up(step, *primary, *successor);
    }
}

}  // namespace camphorstack
