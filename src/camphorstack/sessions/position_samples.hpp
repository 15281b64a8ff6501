#pragma once

#include <deque>
#include <optional>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// The end of the primary's log at some time after `requested_at`. The log up to `position` contains every write that was
/// acknowledged before `requested_at`.
struct position_sample {
    instant requested_at;  ///< When the primary was asked that named this position, or earlier.
    log_position position;

    friend bool operator==(const position_sample&, const position_sample&) = default;
};

/// Positions of one database's primary over the last seconds, oldest first.
struct position_samples {
    leader_round round = 0;  ///< All samples are of this round's leader.
    std::deque<position_sample> entries;
};

/// Adds a sample. A sample of a newer round replaces all others; a sample of an older round is ignored.
void add_sample(position_samples& samples, leader_round round, const position_sample& sample);

/// Returns the oldest known position that contains every write acknowledged before `cutoff`, since the most replicas have reached
/// the oldest one. Returns nothing if no sample is that recent.
[[nodiscard]] std::optional<log_position> position_since(const position_samples& samples, instant cutoff);

/// Returns when the newest sample was requested.
[[nodiscard]] std::optional<instant> newest_sample(const position_samples& samples);

}  // namespace camphorstack
