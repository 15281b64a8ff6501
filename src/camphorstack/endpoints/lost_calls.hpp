#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Handles the call in flight and the transaction of a connection that was lost.
void handle_lost_connection(group_step& step, group_connection& connection);

/// Handles a write that was sent and whose outcome is not known: queues it again if it may run twice or has an idempotency key,
/// otherwise replies `unknown`.
void handle_lost_write(group_step& step, waiting_request item);

/// Removes a transaction that ended or lost its connection, and replies to its pending statements, which did not run.
void remove_transaction(group_step& step, const std::string& id);

}  // namespace camphorstack
