#pragma once

#include <set>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Returns the hosts that operations of this host will need: the holders of shares, then the owners of endpoints; at most
/// `max_kept_links`. Opening a link takes three round trips, which is longer than an operation waits for a token.
[[nodiscard]] std::set<host_id> hosts_to_keep_linked(const session_host_state& state);

/// Opens links to those hosts ahead of need, a few at a time, and keeps them from becoming idle.
void kept_links_tick(session_host_state& state, instant now);

/// Limit on the links that a host keeps open, whatever the size of the fleet.
constexpr std::size_t max_kept_links = 128;

}  // namespace camphorstack
