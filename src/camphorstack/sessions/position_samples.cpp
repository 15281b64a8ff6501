#include "camphorstack/sessions/position_samples.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Shortest interval between two samples. Routes state ages in hundreds of milliseconds, so closer samples add nothing.
constexpr millis sample_interval{20};
/// Time for which samples are kept; longer than any age that routes allow.
constexpr millis retention_time{10000};

}  // namespace

void add_sample(position_samples& samples, leader_round round, const position_sample& sample) {
    if (round < samples.round) {
        return;
    }
    if (round > samples.round) {
        samples.round = round;
        samples.entries.clear();
    }
    if (!samples.entries.empty() && sample.requested_at < samples.entries.back().requested_at + sample_interval) {
        return;
    }
    samples.entries.push_back(sample);
    while (samples.entries.front().requested_at + retention_time < sample.requested_at) {
        samples.entries.pop_front();
    }
}

std::optional<log_position> position_since(const position_samples& samples, instant cutoff) {
    const auto found = std::ranges::lower_bound(samples.entries, cutoff, {}, &position_sample::requested_at);
    return found == samples.entries.end() ? std::nullopt : std::optional(found->position);
}

std::optional<instant> newest_sample(const position_samples& samples) {
    return samples.entries.empty() ? std::nullopt : std::optional(samples.entries.back().requested_at);
}

}  // namespace camphorstack
