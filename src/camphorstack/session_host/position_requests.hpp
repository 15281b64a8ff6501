#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Requests the positions of the primaries whose newest known position is too old for reads at replicas.
void request_positions(session_host_state& state, instant now);

/// Handles the answer to a position request. Returns false if the run is not one.
bool receive_position(session_host_state& state, const run_result& result);

/// Takes note of a primary's position in the result of a run that was sent at `sent`.
void record_position(session_host_state& state, const database_id& database, const run_result& result, instant sent);

/// Forgets the position requests that will not be answered any more.
void expire_position_requests(session_host_state& state, instant now);

}  // namespace camphorstack
