#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Writes structured lines "t=MS event=KIND name=value ...". Each kind has its own rate limit; lines above the limit are
/// suppressed and counted in the next line of that kind. Writing never blocks: lines that do not fit into a full pipe are dropped
/// and counted.
class decision_log {
public:
    struct limits {
        std::int64_t successes_per_s = 2;  ///< Maximum number of lines per second for successful requests, which are frequent.
        std::int64_t others_per_s = 25;    ///< Maximum number of lines per second for each other kind.

        friend bool operator==(const limits&, const limits&) = default;
    };

    /// Writes to `descriptor`, which is made non-blocking and stays open. `time` must outlive the log.
    decision_log(const clock& time, int descriptor, limits kind_limits);

    void write(const std::string& kind, const std::string& text, bool is_failure);

private:
    struct kind_state {
        std::int64_t second = -1;  ///< Second of the clock in which `lines` were written.
        std::int64_t lines = 0;
        std::uint64_t suppressed_lines = 0;  ///< Since the last line of this kind that was written.
    };

    const clock& time_source;
    int output;
    limits line_limits;
    std::map<std::string, kind_state> kinds;
    std::uint64_t dropped_lines = 0;  ///< Lines dropped because the pipe was full, since the last line that was written.
};

}  // namespace camphorstack
