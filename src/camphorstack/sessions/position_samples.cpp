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
        samples.entries.clear();
    }
    if (!samples.entries.empty() && sample.asked < samples.entries.back().asked + spacing) {
        return;
    }
    samples.entries.push_back(sample);
    while (samples.entries.front().asked + kept_time < sample.asked) {
        samples.entries.pop_front();
    }
}

std::optional<log_position> position_since(const position_samples& samples, instant cutoff) {
    const auto found = std::ranges::lower_bound(samples.entries, cutoff, {}, &position_sample::asked);
    return found == samples.entries.end() ? std::nullopt : std::optional(found->position);
}

std::optional<instant> newest_sample(const position_samples& samples) {
    return samples.entries.empty() ? std::nullopt : std::optional(samples.entries.back().asked);
}

}  // namespace camphorstack
