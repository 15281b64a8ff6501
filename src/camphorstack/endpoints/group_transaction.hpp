#pragma once

#include <deque>
#include <string>

#include "camphorstack/workspaces/fair_queue.hpp"

namespace camphorstack {

/// A transaction that is open on a connection to the primary.
struct group_transaction {
    std::string id;
    workspace_id workspace;
    connection_id connection = 0;
    endpoint_id target;
    term_number term = 0;
    instant opened;
    std::deque<waiting_request> pending;  ///< Statements that wait for the connection, in order of arrival.
};

}  // namespace camphorstack
