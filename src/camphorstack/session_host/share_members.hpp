#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Recomputes which members hold shares of rates: those that neither shut down nor are unreachable, so that no share is idle.
/// Each different set counts as a member list of its own.
void update_share_members(session_host_state& state, instant now);

/// Removes unreachable members whose time for a claim has passed from the holders of shares.
void share_members_tick(session_host_state& state, instant now);

}  // namespace camphorstack
