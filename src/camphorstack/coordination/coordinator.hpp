#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Returns true if the store's record names this process as the coordinator.
[[nodiscard]] bool holds_coordinator_role(const session_host_state& state);

/// Returns true if this host may act as the coordinator towards the platform: the store has confirmed since `since` that it holds
/// the role, its predecessor's last calls are over, and the confirmation has not expired. Else asks for a confirmation.
[[nodiscard]] bool confirms_role(session_host_state& state, instant since, instant now);

/// Asks the store whether this host is still the coordinator.
void request_role_confirmation(session_host_state& state, instant now);

/// Returns true if the coordinator has not answered this host's last report in time.
[[nodiscard]] bool is_coordinator_silent(const session_host_state& state, instant now);

/// Sends reports to the coordinator, and takes the role over if the coordinator does not answer.
void coordinator_role_tick(session_host_state& state, instant now);

/// Reports to the coordinator that this process is about to exit. The coordinator itself reports it to the other members.
void announce_shutdown(session_host_state& state);

void receive_membership_report(session_host_state& state, const host_id& from, const membership_report& report, instant now);
void receive_membership_answer(session_host_state& state, const host_id& from, const membership_answer& answer, instant now);

/// Handles a broken link to a host: the host counts as unreachable soon, before its reports are missing.
void handle_broken_link(session_host_state& state, const host_id& peer, instant now);

/// Ends this host's work on leaders that are being changed, and reports the end to the coordinator.
void closing_tick(session_host_state& state, instant now);

void receive_leader_closed(session_host_state& state, const host_id& from, const leader_closed& message);

/// Writes the member list if it has changed. Does nothing if this host is not the coordinator.
void member_list_tick(session_host_state& state, instant now);

/// Returns false once an unreachable member's leases have ended for certain: it has written no `unreachable_claim`, and leases
/// that rely on evidence from before it was listed as unreachable have expired.
[[nodiscard]] bool may_use_leaders(const session_host_state& state, const host_id& id, instant now);

/// Writes an `unreachable_claim` if this host is listed as unreachable, so that it may go on using leaders.
void claim_tick(session_host_state& state, instant now);

/// Starts and advances leader changes. Does nothing if this host is not the coordinator.
void leader_changes_tick(session_host_state& state, instant now);

/// Handles the answer to a write of a fleet record. Returns false if the call is not one of coordination.
bool receive_record_answer(session_host_state& state, const catalog_answer& answer, instant now);

void receive_promotion_answer(session_host_state& state, const promotion_answer& answer, instant now);

/// Handles an endpoint's answer to a status request of a leader change. Returns false if the run is not such a request.
bool receive_status_result(session_host_state& state, const run_result& result, instant now);

/// Writes a fleet record: creates the object if `revision` is 0, else replaces that revision. Returns the call's id.
std::uint64_t write_record(session_host_state& state, const fleet_record& record, store_revision revision);

/// Returns the members of the current list; empty before the first list is known.
[[nodiscard]] const std::vector<member>& listed_members(const session_host_state& state);

}  // namespace camphorstack
