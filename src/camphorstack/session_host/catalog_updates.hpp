#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Applies the changes of one collection of the store, and updates what depends on it: keys, shares, owners and leader leases.
void apply_collection_update(session_host_state& state, collection collection_id, const collection_update& update, instant now);

/// Applies a fleet record that this host has written or that the store returned on a conflict.
void adopt_fleet_item(session_host_state& state, const catalog_item& item, instant now);

/// Applies a coordinator record if it is newer than the known one.
void adopt_coordinator(session_host_state& state, const coordinator_record& record, store_revision revision, instant now);

/// Applies a leader record if it is newer than the known one.
void adopt_leader(session_host_state& state, const leader_record& record, store_revision revision, instant now);

/// Recomputes the owner of each endpoint and the number of connections that this host may hold to it.
void update_endpoint_shares(session_host_state& state, instant now);

/// Recomputes the hosts that this host uses in place of owners that it cannot reach.
void update_substitute_owners(session_host_state& state);

/// Recomputes the lease of each leader from the leader records and the age of their evidence.
void update_leader_leases(session_host_state& state, instant now);

}  // namespace camphorstack
