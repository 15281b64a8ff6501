#pragma once

#include <set>
#include <string>

#include "camphorstack/hosts/caller.hpp"
#include "camphorstack/hosts/request.hpp"
#include "camphorstack/support/token.hpp"

namespace camphorstack {

/// Stage of a pending request.
enum class pending_stage : std::uint8_t {
    waiting_for_share,  ///< Admitted by API key and route, but this host has no rate token left; waits for borrowed ones.
    awaiting_reply,     ///< Submitted to a group at this or another host.
};

/// A caller's request at its entry host, the host that received it from the caller, until it is answered.
struct pending_request {
    std::uint64_t request_number = 0;
    workspace_id workspace;
    database_request request;
    session_token session;  ///< State of the session when the request arrived.
    pending_stage stage = pending_stage::waiting_for_share;
    instant arrived;
    instant deadline;
    instant sent;                   ///< When the request was last sent to a host.
    std::set<host_id> targets;      ///< Hosts to which the request was sent and that may still reply.
    std::set<host_id> tried_hosts;  ///< Hosts to which the request was sent and that will not reply any more.
    bool may_have_run = false;      ///< One of `tried_hosts` may have run the request.
    host_id transaction_host;       ///< Host with the connection of the request's transaction; empty outside of a transaction.
};

}  // namespace camphorstack
