#pragma once

#include <iosfwd>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

// The usage duty at one host: counts the operations that its executor ran, reports the counts to the coordinator and, at the
// coordinator, reports closed windows to the platform. Does nothing if the settings name no usage window.

/// Sends the counts that are due, and takes the holder's next step if this host is the coordinator.
void usage_tick(session_host_state& state, instant now);

/// Counts the operations that the executor has started.
void count_started_operations(session_host_state& state);

/// Sends all counts that the coordinator has not confirmed; for a host that is about to exit.
void send_last_usage(session_host_state& state, instant now);

void receive_wall_clock(session_host_state& state, const wall_clock_read& event, instant now);
void receive_usage_report(session_host_state& state, const host_id& from, const usage_report& report, instant now);
void receive_usage_receipt(session_host_state& state, const host_id& from, const usage_receipt& receipt, instant now);

/// Handles the platform's answer to a usage call.
void receive_usage_answer(session_host_state& state, const usage_answer& answer, instant now);

/// Handles the store's answer to a call for the usage record. Returns false if the call is not one.
bool receive_usage_record_answer(session_host_state& state, const catalog_answer& answer, instant now);

/// Writes the duty's counters in the Prometheus text format.
void render_usage_metrics(const session_host_state& state, std::ostream& out);

}  // namespace camphorstack
