#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Number of a usage window. Window k begins k times the window's length after the start of 1970.
using usage_window = std::int64_t;

/// Statements that began to run at endpoints, by workspace.
using usage_counts = std::map<workspace_id, std::uint64_t>;

struct usage_settings {
    millis window{0};  ///< Length of a usage window; 0 if no usage is reported.
    millis due{0};     ///< A window must be reported this long after its end.
    /// Interval at which a host sends new counts to the coordinator; what a killed host loses.
    millis report_interval{1000};
    /// Shortest time from a window's end until it is closed: statements in flight end and the hosts' reports arrive.
    millis shortest_wait{2000};
    /// Share of `due`, in percent, after which a window is closed without the hosts that have not reported.
    std::int64_t longest_wait_percent = 40;
    /// Wait after a failed call; doubles up to `longest_retry`.
    millis retry_interval{300};
    millis longest_retry{1500};

    friend bool operator==(const usage_settings&, const usage_settings&) = default;
};

/// Most windows whose counts a host keeps: two minutes of windows of five seconds, for a store that is away.
constexpr std::size_t max_usage_windows = 24;

/// Returns the window that contains a time in milliseconds since the start of 1970.
[[nodiscard]] constexpr usage_window window_at(const usage_settings& settings, std::int64_t unix_ms) {
    return unix_ms / settings.window.count;
}

/// Returns the end of a window in milliseconds since the start of 1970.
[[nodiscard]] constexpr std::int64_t end_of(const usage_settings& settings, usage_window window) {
    return (window + 1) * settings.window.count;
}

}  // namespace camphorstack
