#include "camphorstack/session_host/run_time_limits.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// A single statement meets its target if it is sent within this part of the target latency; the rest is for the links between
/// hosts and for the statement itself.
constexpr std::int64_t statement_start_percent = 75;
/// The first statement of a transaction leaves half of the target latency to those that follow it.
constexpr std::int64_t transaction_start_percent = 50;
constexpr std::int64_t percent = 100;
/// An operation may wait in an endpoint's queue for the route's target latency divided by this.
constexpr std::int64_t queue_timeout_divisor = 2;
/// Lower limit of the time for which an operation may wait in an endpoint's queue.
constexpr millis min_queue_timeout{60};
/// Start target of a run whose target is already missed: the shortest one that a message between hosts can state.
constexpr millis missed_start_target{1};

}  // namespace

millis queue_timeout_of(const session_policy& policy) {
    return std::max(min_queue_timeout, policy.target_latency / queue_timeout_divisor);
}

millis start_target_of(const session_policy& policy, bool begins_transaction, millis spent) {
    const auto part = begins_transaction ? transaction_start_percent : statement_start_percent;
    return std::max(missed_start_target, millis{policy.target_latency.count * part / percent} - spent);
}

millis run_time_limit(const session_entry_settings& settings, const session_policy& policy) {
    return queue_timeout_of(policy) + policy.statement_timeout + settings.reply_margin;
}

}  // namespace camphorstack
