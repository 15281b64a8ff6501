#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

// The shutdown of a session host, from the request to stop until the end of its grace period:
//
// - Idle sessions are closed once the load balancer no longer sends callers here, and while messages reach this host quickly: a
//   statement that is still on its way over a full link would get no answer. From then on, an answer that leaves a session idle
//   closes it.
// - Open transactions may go on in the first half of the grace period. After that, a statement is accepted only if its time
//   limit ends before the process does. Otherwise it is refused, and its transaction is rolled back.
// - Shortly before the end of the grace period, every statement that is still in flight is answered with what is known of it.

/// Begins the shutdown.
void begin_shutdown(session_host_state& state, instant now);

/// Returns true if the host is shutting down and no longer takes new sessions.
[[nodiscard]] bool refuses_new_sessions(const session_host_state& state, instant now);

/// Returns true if the host is shutting down and closes idle sessions as soon as its links are quick, or will within a report
/// interval. Its reports measure the links meanwhile.
[[nodiscard]] bool closes_idle_sessions(const session_host_state& state, instant now);

/// Closes the sessions of a host that is shutting down which the answers of the current step leave idle.
void close_sessions_after_answers(session_host_state& state, instant now);

/// Returns true unless the host is shutting down and may end before a statement with this time limit is answered.
[[nodiscard]] bool can_answer_before_end(const session_host_state& state, millis time_limit, instant now);

/// Returns until when callers may take the last answers of a host that is shutting down: shortly before its grace period ends.
[[nodiscard]] instant last_answer_deadline(const session_host_state& state);

/// Handles a run that another host has requested. Refuses it if this host may end before the run does.
void receive_run_request(session_host_state& state, const host_id& origin, const run_request& request, instant now);

/// Closes idle sessions, and ends the host once nothing is open or the grace period is almost over.
void shutdown_tick(session_host_state& state, instant now);

}  // namespace camphorstack
