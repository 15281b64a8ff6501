#pragma once

#include "camphorstack/hosts/host_events.hpp"

namespace camphorstack {

struct host_state;

/// Follows the document and the membership: which groups there are, their endpoints and this host's duty for each.
void refresh_groups(host_state& state, instant now, host_actions& actions);

/// Lets every group act on the time.
void tick_groups(host_state& state, instant now, host_actions& actions);

/// Gives a request of `origin` to its database's group at this host.
void submit_to_group(host_state& state, const host_id& origin, const database_request& request, instant now,
                     host_actions& actions);

void receive_endpoint_connected(host_state& state, connection_id connection, instant now, host_actions& actions);
void receive_endpoint_closed(host_state& state, connection_id connection, instant now, host_actions& actions);
void receive_endpoint_answer(host_state& state, const endpoint_answered& event, instant now, host_actions& actions);

/// Hands a reserved term, or 0 for none, to the database's group.
void notify_group_of_term(host_state& state, const database_id& database, term_number term, instant now, host_actions& actions);

/// Requests in the hands of this host's groups.
[[nodiscard]] std::size_t requests_in_groups(const host_state& state);

}  // namespace camphorstack
