#pragma once

#include "camphorstack/hosts/host_events.hpp"

namespace camphorstack {

struct host_state;

/// Updates the groups, their endpoints and this host's duty for each from the document in force and the membership.
void refresh_groups(host_state& state, instant now, host_actions& actions);

/// Passes the time to every group for its periodic work.
void tick_groups(host_state& state, instant now, host_actions& actions);

/// Submits a request from the host `origin` to its database's group at this host.
void submit_to_group(host_state& state, const host_id& origin, const database_request& request, instant now,
                     host_actions& actions);

void receive_endpoint_connected(host_state& state, connection_id connection, instant now, host_actions& actions);
void receive_endpoint_closed(host_state& state, connection_id connection, instant now, host_actions& actions);
void receive_endpoint_answer(host_state& state, const endpoint_answered& event, instant now, host_actions& actions);

/// Passes the reserved term to the database's group; `term` is 0 if the reservation failed.
void notify_group_of_term(host_state& state, const database_id& database, term_number term, instant now, host_actions& actions);

/// Returns the number of requests in flight in this host's groups.
[[nodiscard]] std::size_t requests_in_groups(const host_state& state);

}  // namespace camphorstack
