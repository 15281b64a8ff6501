#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Starts the operation for a statement, in the session's transaction if one is open.
void start_operation(session_host_state& state, caller_session& session, const statement& requested, instant now);

/// Starts the statements that the caller has pipelined, until one has to wait for its answer.
void advance_session(session_host_state& state, caller_session& session, instant now);

}  // namespace camphorstack
