#pragma once

#include <vector>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Requests the status of each endpoint, unless it was requested a moment ago. The answers arrive as `receive_status_result`.
void request_statuses(session_host_state& state, leader_change& change, const std::vector<endpoint_id>& endpoints, instant now);

/// Makes former primaries follow the new one at once. Otherwise they would do so only after a second, and the new primary would
/// acknowledge nothing as long as it needs them as its synchronous replicas.
void demote_former_primaries(session_host_state& state, const leader_change& change, instant now);

}  // namespace camphorstack
