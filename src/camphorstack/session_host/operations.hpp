#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Starts a statement that begins an operation or belongs to the session's transaction.
void start_operation(session_host_state& state, caller_session& session, const statement& requested, instant now);

/// Starts the statements that the caller sent ahead, until one has to wait.
void advance_session(session_host_state& state, caller_session& session, instant now);

}  // namespace camphorstack
