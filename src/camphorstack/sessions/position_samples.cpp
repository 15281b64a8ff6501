#include "camphorstack/sessions/position_samples.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Samples closer to each other than this bring nothing; routes state ages in hundreds of milliseconds.
constexpr millis spacing{20};
/// Longer than any age that routes allow for.
constexpr millis kept_time{10000};

}  // namespace

void add_sample(position_samples& samples, leader_round round, const position_sample& sample) {
    if (round < samples.round) {
        return;
    }
    if (round > samples.round) {
        samples.round = round;
        samples.taken.clear();
    }
    if (!samples.taken.empty() && sample.asked < samples.taken.back().asked + spacing) {
        return;
    }
    samples.taken.push_back(sample);
    while (samples.taken.front().asked + kept_time < sample.asked) {
        samples.taken.pop_front();
    }
}

std::optional<log_position> position_since(const position_samples& samples, instant cutoff) {
    const auto found = std::ranges::lower_bound(samples.taken, cutoff, {}, &position_sample::asked);
    return found == samples.taken.end() ? std::nullopt : std::optional(found->position);
}

std::optional<instant> newest_sample(const position_samples& samples) {
    return samples.taken.empty() ? std::nullopt : std::optional(samples.taken.back().asked);
}

}  // namespace camphorstack
