#include "camphorstack/session_host/run_time_limits.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// An operation may wait in an endpoint's queue for the route's target latency divided by this.
constexpr std::int64_t queue_timeout_divisor = 2;
/// Lower limit of the time for which an operation may wait in an endpoint's queue.
constexpr millis min_queue_timeout{60};

}  // namespace

millis queue_timeout_of(const session_policy& policy) {
    return std::max(min_queue_timeout, policy.target_latency / queue_timeout_divisor);
}

millis run_time_limit(const session_entry_settings& settings, const session_policy& policy) {
    return queue_timeout_of(policy) + policy.statement_timeout + settings.reply_margin;
}

}  // namespace camphorstack
