#pragma once

#include "camphorstack/hosts/host_events.hpp"

namespace camphorstack {

struct host_state;

/// Checks a caller's request (key, route, tokens, rate) and hands it to the owner of its database.
void receive_caller_request(host_state& state, const caller_request& request, instant now, host_actions& actions);

/// Sends the loan requests and returned tokens that are due.
void send_loan_messages(host_state& state, instant now, host_actions& actions);

/// Takes an owner's reply; one that answers no open request is dropped.
void receive_reply(host_state& state, const host_id& from, const database_reply& reply, instant now, host_actions& actions);

/// A peer's link broke: requests that may be sent again go to another host, the others end as unknown.
void retry_requests_of_lost_peer(host_state& state, const host_id& peer, instant now, host_actions& actions);

/// A request was certainly not sent to the peer.
void retry_unsent_request(host_state& state, const host_id& peer, const request_id& request, instant now, host_actions& actions);

/// Ends requests whose time is over, tries shares again and turns to the standby where the owner stays silent.
void tick_pending_requests(host_state& state, instant now, host_actions& actions);

}  // namespace camphorstack
