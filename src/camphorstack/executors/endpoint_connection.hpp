#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/sessions/result_code.hpp"
#include "camphorstack/sessions/statement.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// What a host asks an endpoint for on a connection.
enum class endpoint_command : std::uint8_t {
    statement,  ///< A caller's statement, unchanged.
    execute,    ///< A prepared statement by the name that the host gave it.
    begin,
    begin_read_only,
    rollback,
    reset,  ///< Drops session values and prepared statements.
    set_value,
    prepare,
    status,
};

struct endpoint_statement {
    endpoint_command command = endpoint_command::statement;
    std::string id;    ///< Of the caller's statement; empty for the host's own.
    std::string text;  ///< The statement, a session value, a shape, or what a prepared statement runs with.
    std::string name;  ///< Of a session value or of a prepared statement.
    bool writes = false;
    std::optional<log_position> after;

    friend bool operator==(const endpoint_statement&, const endpoint_statement&) = default;
};

/// What an endpoint tells of itself.
struct endpoint_self_report {
    bool is_primary = false;
    term_number term = 0;
    log_position received;
    millis lag;

    friend bool operator==(const endpoint_self_report&, const endpoint_self_report&) = default;
};

/// The complete answer to one statement.
struct endpoint_reply {
    result_code code = result_code::none;  ///< `none` is a success.
    std::string text;                      ///< Of an error.
    std::string proof;
    std::vector<std::string> rows;
    session_state state = session_state::idle;
    std::optional<log_position> position;
    std::optional<endpoint_self_report> status;  ///< Answer to `status`.

    friend bool operator==(const endpoint_reply&, const endpoint_reply&) = default;
};

/// Opens a connection to an endpoint for the statements of one workspace.
struct open_endpoint_connection {
    connection_id connection = 0;
    endpoint_id endpoint;
    database_id database;
    std::string address;
    workspace_id workspace;

    friend bool operator==(const open_endpoint_connection&, const open_endpoint_connection&) = default;
};

/// The endpoint rolls back what is open on the connection. No event follows.
struct close_endpoint_connection {
    connection_id connection = 0;

    friend bool operator==(const close_endpoint_connection&, const close_endpoint_connection&) = default;
};

/// Sends statements back to back; each is answered in turn.
struct send_endpoint_statements {
    connection_id connection = 0;
    std::vector<endpoint_statement> statements;

    friend bool operator==(const send_endpoint_statements&, const send_endpoint_statements&) = default;
};

struct endpoint_connection_opened {
    connection_id connection = 0;
    std::optional<log_position> position;

    friend bool operator==(const endpoint_connection_opened&, const endpoint_connection_opened&) = default;
};

/// The endpoint refused the connection, it could not be opened, or it broke. Last event of a connection.
struct endpoint_connection_ended {
    connection_id connection = 0;
    result_code code = result_code::none;  ///< Given by the endpoint.
    bool refused = false;                  ///< Nothing listens at the address.

    friend bool operator==(const endpoint_connection_ended&, const endpoint_connection_ended&) = default;
};

struct endpoint_reply_received {
    connection_id connection = 0;
    endpoint_reply reply;

    friend bool operator==(const endpoint_reply_received&, const endpoint_reply_received&) = default;
};

using executor_action = std::variant<open_endpoint_connection, close_endpoint_connection, send_endpoint_statements>;

}  // namespace camphorstack
