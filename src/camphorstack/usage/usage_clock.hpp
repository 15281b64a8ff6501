#pragma once

#include <map>
#include <optional>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

// The fleet's time: a wall clock on which all hosts agree. Each host keeps it as an offset to its own steady clock, so that a
// step of a machine's wall clock changes nothing. The coordinator sets it to the median of the hosts' wall clocks, and the others
// take it from the coordinator.

/// One host's view of the fleet's time. Offsets are milliseconds since the start of 1970 minus the host's steady clock.
struct usage_clock {
    std::optional<std::int64_t> offset;      ///< Of the fleet's time.
    std::optional<std::int64_t> own_offset;  ///< Of the machine's wall clock.
    bool agreed = false;                     ///< The offset is the fleet's and not only this machine's.
    instant first_read;
    /// Offsets of other hosts' wall clocks to this host's steady clock, and when they were heard.
    std::map<host_id, std::pair<std::int64_t, instant>> others;
    std::optional<instant> deviates_since;  ///< Since when the median differs from the fleet's time.
};

void read_wall_clock(usage_clock& clock, std::int64_t unix_ms, instant now);

/// Takes the fleet's time from a host that knows it. `at` is when it was `unix_ms`.
void adopt_time(usage_clock& clock, std::int64_t unix_ms, instant at);

/// Takes the wall clock of another host, and the fleet's time if only that host knows it (0 if it does not).
void hear_clock(usage_clock& clock, const host_id& from, std::int64_t unix_ms, std::int64_t agreed_ms, instant now);

/// At the coordinator: sets the fleet's time to the median. Once hosts agree, only a lasting difference corrects it.
void settle_clock(usage_clock& clock, instant now);

/// Returns the fleet's time in milliseconds since the start of 1970; nothing if it is not known yet.
[[nodiscard]] std::optional<std::int64_t> fleet_time(const usage_clock& clock, instant now);

}  // namespace camphorstack
