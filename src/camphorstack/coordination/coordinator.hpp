#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// True if the store's record names this process as the coordinator.
[[nodiscard]] bool holds_coordinator_role(const session_host_state& state);

/// Reports to the coordinator, and takes the duty over from one that does not answer.
void coordinator_role_tick(session_host_state& state, instant now);

/// Tells the coordinator that this process ends.
void announce_shutdown(session_host_state& state);

void receive_membership_report(session_host_state& state, const host_id& from, const membership_report& report, instant now);
void receive_membership_answer(session_host_state& state, const host_id& from, const membership_answer& answer, instant now);

/// The link to a host broke; the coordinator does not wait for its reports to stop.
void handle_broken_link(session_host_state& state, const host_id& peer, instant now);

/// Ends this host's work on leaders that are being changed, and tells the coordinator.
void closing_tick(session_host_state& state, instant now);

void receive_leader_closed(session_host_state& state, const host_id& from, const leader_closed& message);

/// The coordinator's work on the member list.
void member_list_tick(session_host_state& state, instant now);

/// False once an unreachable member's right to use leaders has ended for certain: it has made no claim, and its evidence from
/// before it was listed so is too old.
[[nodiscard]] bool may_use_leaders(const session_host_state& state, const host_id& id, instant now);

/// Claims the right to use leaders for this host, if it is listed as unreachable.
void claim_tick(session_host_state& state, instant now);

/// The coordinator's work on leaders.
void leader_changes_tick(session_host_state& state, instant now);

/// Takes the answer to a write of a fleet record. False if the call is not one of coordination.
bool receive_record_answer(session_host_state& state, const catalog_answer& answer, instant now);

void receive_promotion_answer(session_host_state& state, const promotion_answer& answer, instant now);

/// Takes an endpoint's answer to a question of a change. False if the run is not such a question.
bool receive_status_result(session_host_state& state, const run_result& result, instant now);

/// Writes a record of the fleet: creates the object if `revision` is 0, else replaces that revision. Returns the call's id.
std::uint64_t write_record(session_host_state& state, const fleet_record& record, store_revision revision);

/// Members of the current list; empty before the first.
[[nodiscard]] const std::vector<member>& listed_members(const session_host_state& state);

}  // namespace camphorstack
