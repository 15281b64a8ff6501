#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Accepts or rejects a caller's request for a session.
void receive_session(session_host_state& state, const session_requested& event, instant now);

/// Queues a statement of a session and starts it if the session waits for no other one. Closes a session that exceeds the queue
/// limit.
void receive_statement(session_host_state& state, const statement_received& event, instant now);

/// Logs and counts a message that the callers' link did not understand.
void record_refused_message(session_host_state& state, const message_refused& event);

/// Logs and counts a caller that was closed to keep the process within its limits.
void record_closed_caller(session_host_state& state, const caller_closed& event);

/// Ends a session and its transaction.
void receive_session_ended(session_host_state& state, const session_ended& event, instant now);

/// Closes a session's connection and ends the session.
void disconnect_session(session_host_state& state, session_id id, instant now);

/// Handles the result of a run of one of this host's sessions, or of a position request to a primary.
void receive_run_result(session_host_state& state, const run_result& result, instant now);

/// Handles a broken connection to a host: fails the runs that were sent there, as lost.
void fail_runs_at(session_host_state& state, const host_id& host, instant now);

/// Fails a run that was certainly not sent.
void fail_unsent_run(session_host_state& state, run_id run, not_sent_cause cause, instant now);

/// Retries the operations that wait for tokens or for a leader, and fails those whose time limit has passed.
void retry_waiting(session_host_state& state, instant now);

/// Fails runs without an answer in time, retries waiting operations, requests the positions of primaries, and ends idle
/// transactions.
void session_entry_tick(session_host_state& state, instant now);

/// Ends the session's operation with the outcome that is known of it, and answers the statements that wait behind it. Called
/// when the host ends, so nothing is tried again.
void fail_session_statements(session_host_state& state, caller_session& session, const char* reason, instant now);

/// Closes the idle sessions of a host that shuts down.
void close_idle_sessions(session_host_state& state, instant now);

/// Closes the sessions that an answer of the current step leaves idle. Without `may_have_sent_ahead`, those of callers that send
/// statements ahead are left open.
void close_answered_sessions(session_host_state& state, bool may_have_sent_ahead, instant now);

}  // namespace camphorstack
