#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

void receive_session(session_host_state& state, const session_requested& event, instant now);
void receive_statement(session_host_state& state, const statement_received& event, instant now);
void receive_session_left(session_host_state& state, const session_ended& event, instant now);

/// Takes the result of a run of this host's sessions, or of a question for a position.
void receive_run_result(session_host_state& state, const run_result& result, instant now);

/// The link to the host broke: its runs are lost.
void fail_runs_at(session_host_state& state, const host_id& host, instant now);

/// The run was certainly not sent.
void fail_unsent_run(session_host_state& state, run_id run, instant now);

/// Tries operations that wait for tokens or for a leader again, and gives up those whose time is over.
void retry_waiting(session_host_state& state, instant now);

/// Gives up runs at other hosts that are not answered in time, ends idle transactions, asks primaries for their positions.
void session_entry_tick(session_host_state& state, instant now);

/// Closes idle sessions of a host that stops.
void close_idle_sessions(session_host_state& state, instant now);

}  // namespace camphorstack
