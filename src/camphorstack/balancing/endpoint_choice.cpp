#include "camphorstack/balancing/endpoint_choice.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

double part(millis time, millis whole) {
    const auto divisor = static_cast<double>(std::max<std::int64_t>(1, whole.count));
    return std::clamp(static_cast<double>(time.count) / divisor, 0.0, 1.0);
}

/// Returns the share of a reported queue time that counts at its age.
double weight_of_report(millis age, const choice_settings& settings) {
    return 1.0 - part(age - settings.full_weight_age, settings.lifetime - settings.full_weight_age);
}

/// Returns the queue time that the host's own unanswered runs add.
double own_wait(const endpoint_candidate& candidate, const choice_settings& settings) {
    const double slots = std::max(1, candidate.slots);
    const auto service = static_cast<double>(candidate.mean_service.value_or(settings.assumed_service).count);
    // Without a queue, the first runs find free slots.
    const double free = candidate.wait > millis{0} ? 0.0 : slots - 1.0;
    return std::max(0.0, static_cast<double>(candidate.unanswered) - free) / slots * service;
}

/// Returns the queue time that the lack of an answer shows.
double silent_wait(const endpoint_candidate& candidate, const choice_settings& settings) {
    const auto usual = candidate.path + candidate.mean_service.value_or(settings.assumed_service) + settings.answer_tolerance;
    return static_cast<double>(std::max(millis{0}, candidate.silent_for - usual).count);
}

/// Returns a number from [0, 1).
double draw_part(random_source& random) {
    constexpr std::uint64_t steps = 1 << 20;
    return static_cast<double>(random() % steps) / static_cast<double>(steps);
}

}  // namespace

void record_sent(load_evidence& evidence, instant now) {
    ++evidence.unanswered;
    if (evidence.unanswered == 2) {
        evidence.second_sent_at = now;
    }
    evidence.last_sent_at = now;
}

void record_report(load_evidence& evidence, millis wait, instant now) {
    evidence = load_evidence{};
    evidence.wait = wait;
    evidence.reported_at = now;
}

void apply_evidence(endpoint_candidate& candidate, const load_evidence& evidence, const choice_settings& settings, instant now) {
    if (evidence.reported_at) {
        candidate.wait = evidence.wait;
        candidate.wait_age = now - *evidence.reported_at;
    }
    if (evidence.unanswered != 0 && now - evidence.last_sent_at < settings.lifetime) {
        candidate.unanswered = evidence.unanswered;
        candidate.silent_for = evidence.unanswered > 1 ? now - evidence.second_sent_at : millis{0};
    }
}

double expected_cost(const endpoint_candidate& candidate, const choice_settings& settings) {
    const auto fixed = static_cast<double>((candidate.path + candidate.penalty).count);
    const auto reported = static_cast<double>(candidate.wait.count) * weight_of_report(candidate.wait_age, settings);
    return fixed + std::max(reported + own_wait(candidate, settings), silent_wait(candidate, settings));
}

std::optional<std::size_t> choose_candidate(const std::vector<endpoint_candidate>& candidates, const choice_settings& settings,
                                            random_source& random) {
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double jitter = draw_part(random) * static_cast<double>(settings.jitter.count);
        const double cost = expected_cost(candidates[i], settings) + jitter;
        if (!best || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

}  // namespace camphorstack
