#pragma once

#include <set>
#include <string>

#include "camphorstack/hosts/caller.hpp"
#include "camphorstack/hosts/request.hpp"
#include "camphorstack/support/token.hpp"

namespace camphorstack {

enum class pending_stage : std::uint8_t {
    waiting_for_share,  ///< Admitted by key and route, but over this host's tokens; waits for a loan.
    awaiting_reply,     ///< Handed to a group, here or at another host.
};

/// A caller's request at its entry host, until it is answered.
struct pending_request {
    std::uint64_t request_number = 0;
    workspace_id workspace;
    database_request request;
    session_token session;  ///< What the session had seen when the request came.
    pending_stage stage = pending_stage::waiting_for_share;
    instant arrived;
    instant deadline;
    instant sent;                ///< To the newest target.
    std::set<host_id> targets;   ///< Hosts that received the request and may still answer.
    std::set<host_id> finished;  ///< Hosts that were tried and will not answer any more.
    bool may_have_run = false;   ///< One of the finished hosts may have run it.
    host_id transaction_host;    ///< For a request inside a transaction: the host with its connection.
};

}  // namespace camphorstack
