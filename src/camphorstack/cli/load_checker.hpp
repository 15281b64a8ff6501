#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "camphorstack/hosts/request.hpp"

namespace camphorstack {

/// State of a counter as seen by the only session that changes it. The session sends its ADDs one after the other.
struct counter_history {
    std::int64_t acknowledged = 0;                                   ///< Sum of the ADDs with outcome done.
    std::int64_t unconfirmed = 0;                                    ///< Sum of the ADDs with outcome unknown.
    std::int64_t highest_read = 0;                                   ///< Highest value that a read of the session returned.
    std::deque<std::pair<instant, std::int64_t>> acknowledged_sums;  ///< Acknowledged sums with the time when each was reached.

    friend bool operator==(const counter_history&, const counter_history&) = default;
};

/// Records the outcome of an ADD, or of all ADDs of a transaction together.
void record_add(counter_history& counter, std::int64_t amount, request_outcome outcome, instant now);

/// Checks a value that the session read. Returns the violation, if there is one: a lost ADD or a stale read when the value is
/// too low, a doubled ADD when it is too high.
std::optional<std::string> check_read(counter_history& counter, std::int64_t value);

/// Checks a value that a read with an age bound returned: the value may lack ADDs that were acknowledged within `max_age`
/// before `sent_at`.
std::optional<std::string> check_aged_read(const counter_history& counter, std::int64_t value, instant sent_at, millis max_age);

/// Checks the result of an ADD with outcome done. Called before `record_add`.
std::optional<std::string> check_add(const counter_history& counter, std::int64_t amount, std::int64_t value);

}  // namespace camphorstack
