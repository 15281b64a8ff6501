#pragma once

#include <optional>
#include <string>

#include "camphorstack/endpoints/endpoint_call.hpp"
#include "camphorstack/workspaces/fair_queue.hpp"

namespace camphorstack {

enum class call_purpose : std::uint8_t {
    status,      ///< Poll on the control connection.
    validation,  ///< Status call that checks a connection that was idle for long.
    fence,
    promote,
    follow,
    request,            ///< Runs a caller's request.
    roll_back_expired,  ///< Rolls back a transaction that exceeded its lifetime.
};

struct call_in_flight {
    endpoint_call call;
    call_purpose purpose = call_purpose::status;
    instant sent_at;
    instant expires;                         ///< If no answer has arrived by this time, the connection is closed.
    std::optional<waiting_request> request;  ///< Set for `call_purpose::request`.
    bool sent_before = false;                ///< The request was already written to a connection before this call.
};

/// One connection to a database instance. It carries at most one call at a time.
struct group_connection {
    connection_id id = 0;
    endpoint_id target;
    bool control = false;   ///< Carries no statements; see `group_instance::control`.
    bool ready = false;     ///< Connected.
    bool answered = false;  ///< Has carried at least one answer.
    instant opened;         ///< When the attempt to connect began.
    instant last_seen;      ///< When the connection was established or last carried an answer; `opened` until then.
    instant last_used;      ///< When a caller's request was last sent on the connection; `opened` until then.
    std::optional<call_in_flight> call;
    std::string transaction;  ///< Id of the transaction pinned to this connection, or empty.
};

}  // namespace camphorstack
