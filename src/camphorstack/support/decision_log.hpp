#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Structured lines, "event=KIND name=value ...". Each kind has a rate of its own; lines beyond it are left
/// out and counted in the next one of the kind. Writing never blocks: what a full pipe does not take is dropped and counted.
class decision_log {
public:
    struct limits {
        std::int64_t successes_per_s = 2;  ///< Lines for requests that went well, which are many.
        std::int64_t others_per_s = 25;    ///< Lines of each other kind.

        friend bool operator==(const limits&, const limits&) = default;
    };

    /// Writes to `descriptor`, which is made non-blocking and stays open. `time` must outlive the log.
    decision_log(const clock& time, int descriptor, limits line_limits);

    void write(const std::string& kind, const std::string& text, bool is_failure);

private:
    struct kind_state {
        std::int64_t second = -1;  ///< Second of the clock that `lines` counts.
        std::int64_t lines = 0;
        std::uint64_t suppressed_lines = 0;
    };

    const clock& time_source;
    int output;
    limits line_limits;
    std::map<std::string, kind_state> kinds;
    std::uint64_t dropped_lines = 0;  ///< Lines that a full pipe did not take since the last one that it took.
};

}  // namespace camphorstack
