#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Sends waiting requests, in fair order, as far as instances have room; opens or proves connections for the others.
void dispatch_requests(group_step& step);

/// Handles the answer to a request's call. The connection may be gone already.
void handle_request_answer(group_step& step, connection_id connection, const endpoint_id& target, call_in_flight call,
                           const endpoint_answer& answer);

}  // namespace camphorstack
