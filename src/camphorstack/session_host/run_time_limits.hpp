#pragma once

#include "camphorstack/document/document.hpp"
#include "camphorstack/session_host/session_host_settings.hpp"

namespace camphorstack {

/// Returns the time for which a run may wait in an endpoint's queue.
[[nodiscard]] millis queue_timeout_of(const session_policy& policy);

/// Returns the time within which a run must be sent to the endpoint for its operation to meet the target latency, `spent` after
/// the operation arrived.
[[nodiscard]] millis start_target_of(const session_policy& policy, bool begins_transaction, millis spent);

/// Returns the time after which a run that was sent to an endpoint's executor counts as lost.
[[nodiscard]] millis run_time_limit(const session_entry_settings& settings, const session_policy& policy);

}  // namespace camphorstack
