#pragma once

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Host from which this host takes the changes of the store: the coordinator, or a host nearer to it. Each host passes changes on
/// to at most `catalog_relay_fanout` others, so the number of steps grows with the logarithm of the number of hosts. Empty if
/// there is none.
[[nodiscard]] host_id relay_parent(const session_host_state& state);

/// Asks another host for a change that this host lacks: the relay parent, or, if the coordinator or the parent does not answer,
/// the host `informant` that has reported the change. Returns false if the store has to be asked.
bool request_change(session_host_state& state, collection collection_id, store_revision wanted, const host_id& informant,
                    instant now);

/// Answers the request, or keeps it until this host has the wanted change.
void receive_catalog_request(session_host_state& state, const host_id& from, const catalog_request& request, instant now);

/// Has the adapter decode the changes; a `catalog_answer` follows. Asks the store if the other host could not pass them on.
void receive_catalog_reply(session_host_state& state, const catalog_reply& reply, instant now);

/// Answers the requests that waited for this change of the collection.
void relay_update(session_host_state& state, collection collection_id, const collection_update& update, instant now);

/// Asks the store for what other hosts have not sent in time, and drops requests that were kept for too long.
void catalog_relay_tick(session_host_state& state, instant now);

}  // namespace camphorstack
