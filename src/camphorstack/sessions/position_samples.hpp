#pragma once

#include <deque>
#include <optional>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// The primary's log reached `position` no earlier than at `asked`.
struct position_sample {
    instant asked;  ///< When the question that the primary answered with its position was sent.
    log_position position;

    friend bool operator==(const position_sample&, const position_sample&) = default;
};

/// Positions of one database's primary over the last seconds, oldest first.
struct position_samples {
    leader_round round = 0;  ///< All samples are of this round's leader.
    std::deque<position_sample> entries;
};

/// Adds a sample. One of a newer round replaces all others; one of an older round is ignored.
void add_sample(position_samples& samples, leader_round round, const position_sample& sample);

/// A position that contains every write acknowledged before `cutoff`: the oldest that is known to do so, which the most replicas
/// have reached. Nothing if no sample is that recent.
[[nodiscard]] std::optional<log_position> position_since(const position_samples& samples, instant cutoff);

/// When the newest sample was asked for.
[[nodiscard]] std::optional<instant> newest_sample(const position_samples& samples);

}  // namespace camphorstack
