#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Takes over what is new in one collection of the store, and what follows from it: keys, shares, owners, leaders.
void apply_collection_update(session_host_state& state, collection collection_id, const collection_update& news, instant now);

/// Takes over a record that this host has written or that the store returned on a conflict.
void adopt_fleet_item(session_host_state& state, const catalog_item& item, instant now);

/// Takes over a leader record, if it is newer than the known one.
void adopt_leader(session_host_state& state, const leader_record& record, store_revision revision, instant now);

/// Recomputes owners and what this host may use each endpoint for.
void update_endpoint_shares(session_host_state& state, instant now);

/// Recomputes the hosts that stand in for owners that this host does not reach.
void update_substitute_owners(session_host_state& state);

/// Recomputes the right to use each leader from the records and the age of their evidence.
void update_leader_leases(session_host_state& state, instant now);

}  // namespace camphorstack
