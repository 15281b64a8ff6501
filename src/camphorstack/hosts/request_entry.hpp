#pragma once

#include "camphorstack/hosts/host_events.hpp"

namespace camphorstack {

struct host_state;

/// Checks a caller's request (API key, route, tokens, rate) and sends it to the owner of its database.
void receive_caller_request(host_state& state, const caller_request& request, instant now, host_actions& actions);

/// Sends the loan requests that are due to other hosts, and returns unspent borrowed tokens whose loan is about to end.
void send_loan_messages(host_state& state, instant now, host_actions& actions);

/// Passes the reply of the host `from` on to the caller. A reply that matches no pending request is dropped.
void receive_reply(host_state& state, const host_id& from, const database_reply& reply, instant now, host_actions& actions);

/// Called when the connection to a peer is lost. Requests sent to the peer that may be repeated are sent to another host; the
/// others end with the outcome unknown.
void retry_requests_of_lost_peer(host_state& state, const host_id& peer, instant now, host_actions& actions);

/// Called when a request was certainly not sent to the peer. Sends it to another host, or ends it as not run.
void retry_unsent_request(host_state& state, const host_id& peer, const request_id& request, instant now, host_actions& actions);

/// Ends requests past their deadline, retries requests that wait for rate tokens, and sends requests to the standby if the owner
/// has not replied within `forward_timeout`.
void tick_pending_requests(host_state& state, instant now, host_actions& actions);

}  // namespace camphorstack
