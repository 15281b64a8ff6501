#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Returns true if a host that reported recently suspects the leader, not counting suspicions from before it became the leader.
[[nodiscard]] bool is_leader_suspected(const session_host_state& state, const endpoint_id& leader, instant now);

/// Discounts what was observed of a leader before a change ended with it.
void discount_earlier_suspicions(session_host_state& state, const leader_change& change, instant now);

/// Takes note of a host's report: a suspicion that it no longer has counts again if it returns.
void update_discounted_suspicions(session_host_state& state, const host_id& host, const membership_report& report);

/// Returns true if the leader of an unplanned change answers as the primary, so that the suspicion is over. A leader that was
/// kept for this reason and is suspected again soon is replaced.
[[nodiscard]] bool may_keep_leader(const session_host_state& state, const leader_change& change, instant now);

}  // namespace camphorstack
