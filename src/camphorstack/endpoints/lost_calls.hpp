#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Settles what a connection carried that is gone: its call in flight and its transaction.
void handle_lost_connection(group_step& step, group_connection& connection);

/// Settles a write that was sent and whose fate is not known: sent again if that is harmless, otherwise `unknown`.
void handle_lost_write(group_step& step, waiting_request item);

/// Ends a transaction whose connection is gone; statements that wait for it did not run.
void remove_transaction(group_step& step, const std::string& id);

}  // namespace camphorstack
