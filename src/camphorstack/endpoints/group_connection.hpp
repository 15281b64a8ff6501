#pragma once

#include <optional>
#include <string>

#include "camphorstack/endpoints/endpoint_call.hpp"
#include "camphorstack/workspaces/fair_queue.hpp"

namespace camphorstack {

enum class call_purpose : std::uint8_t {
    status,      ///< Poll on the control connection.
    validation,  ///< Status call that proves a connection after silence.
    fence,
    promote,
    follow,
    request,            ///< Runs a caller's request.
    roll_back_expired,  ///< Rolls a transaction back that outlived its limit.
};

struct call_in_flight {
    endpoint_call call;
    call_purpose purpose = call_purpose::status;
    instant sent_at;
    instant expires;                         ///< Without an answer by then the connection is closed.
    std::optional<waiting_request> request;  ///< Set for `call_purpose::request`.
    bool sent_before = false;                ///< The request had been written to another connection before.
};

/// One connection to an instance. It carries at most one call at a time.
struct group_connection {
    connection_id id = 0;
    endpoint_id target;
    bool control = false;
    bool ready = false;     ///< Connected.
    bool answered = false;  ///< Has carried at least one answer.
    instant opened;
    instant last_seen;  ///< When it was connected or carried an answer last.
    instant last_used;  ///< When it last carried a caller's request.
    std::optional<call_in_flight> call;
    std::string transaction;  ///< Id of the transaction that is pinned to it, or empty.
};

}  // namespace camphorstack
