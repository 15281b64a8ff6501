#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Requests the positions of the primaries whose newest known position is too old for reads at replicas, or for which other hosts
/// wait.
void request_positions(session_host_state& state, instant now);

/// Handles the answer to a position request. Returns false if the run is not one.
bool receive_position(session_host_state& state, const run_result& result);

/// Takes note of a primary's positions in the result of a run that was sent at `sent`.
void record_position(session_host_state& state, const database_id& database, const run_result& result, instant sent);

/// Takes note of the newest position that an endpoint of this host's executor has named as the primary.
void learn_position(session_host_state& state, const endpoint_id& endpoint);

/// Adds to a result for another host the newest position of the database's primary that this host knows, if the result lacks one.
void add_known_position(const session_host_state& state, addressed_result& item, instant now);

/// Handles another host's request for a primary's position. Returns false if the run is not one that this host may answer by
/// itself.
bool receive_position_request(session_host_state& state, const host_id& origin, const run_request& request, instant now);

/// Answers the kept requests of other hosts for which a position is known that is young enough, and refuses those that waited
/// too long.
void answer_position_requests(session_host_state& state, instant now);

/// Forgets the position requests that will not be answered any more.
void expire_position_requests(session_host_state& state, instant now);

}  // namespace camphorstack
