#pragma once

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/usage/usage_messages.hpp"

namespace camphorstack {

/// Reports the usage of one window to the platform.
struct usage_call {
    std::uint64_t id = 0;
    window_counts usage;
    host_id holder;          ///< The host that is the coordinator.
    fence_number fence = 0;  ///< Fence of the holder's coordinator record.

    friend bool operator==(const usage_call&, const usage_call&) = default;
};

enum class usage_status : std::uint8_t {
    accepted,
    refused,    ///< The platform does not take this report; a repeat would be refused too.
    not_done,   ///< The platform answered that it did nothing.
    no_answer,  ///< The report may have been taken.
};

[[nodiscard]] const char* to_string(usage_status status);

/// The platform's answer to a usage call.
struct usage_answer {
    std::uint64_t id = 0;  ///< Of the call.
    usage_status status = usage_status::no_answer;

    friend bool operator==(const usage_answer&, const usage_answer&) = default;
};

/// A reading of the machine's wall clock, which may step.
struct wall_clock_read {
    std::int64_t unix_ms = 0;  ///< Milliseconds since the start of 1970.

    friend bool operator==(const wall_clock_read&, const wall_clock_read&) = default;
};

}  // namespace camphorstack
