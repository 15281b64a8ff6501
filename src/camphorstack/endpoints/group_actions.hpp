#pragma once

#include <string>
#include <variant>
#include <vector>

#include "camphorstack/endpoints/endpoint_call.hpp"
#include "camphorstack/hosts/decision_record.hpp"
#include "camphorstack/hosts/request.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

struct open_connection {
    connection_id connection = 0;
    endpoint_id target;
    std::string address;  ///< "ip:port".

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

struct close_connection {
    connection_id connection = 0;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

/// Writes one call to a connection. A connection carries one call at a time.
struct send_call {
    connection_id connection = 0;
    endpoint_call call;

    friend bool operator==(const send_call&, const send_call&) = default;
};

/// Replies to a request that was submitted with `group_submit`.
struct reply_to_request {
    host_id origin;  ///< Entry host that submitted the request.
    database_reply reply;

    friend bool operator==(const reply_to_request&, const reply_to_request&) = default;
};

/// Asks the platform for a term above `above`; the answer arrives through `group_term_reserved`.
struct reserve_term {
    database_id database;
    term_number above = 0;

    friend bool operator==(const reserve_term&, const reserve_term&) = default;
};

using group_action = std::variant<open_connection, close_connection, send_call, reply_to_request, reserve_term, decision_record>;
using group_actions = std::vector<group_action>;

}  // namespace camphorstack
