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

/// What a host requests from an endpoint on a connection.
enum class endpoint_command : std::uint8_t {
    statement,  ///< A caller's statement, unchanged.
    execute,    ///< Executes a prepared statement by the name that the host gave it.
    begin,
    begin_read_only,
    rollback,
    reset,  ///< Removes session values and prepared statements.
    set_value,
    prepare,
    status,
    demote,  ///< Makes a primary of a term before the one in `text` a replica.
};

struct endpoint_statement {
    endpoint_command command = endpoint_command::statement;
    std::string id;       ///< Id of the caller's statement; empty for the host's own statements.
    std::string text;     ///< Text of the statement or of the statement to prepare, a session value, the argument of a prepared
                          ///< statement, or a term.
    std::string name;     ///< Name of a session value or of a prepared statement.
    bool writes = false;  ///< For `prepare`: the prepared statement writes.
    std::optional<log_position> after;  ///< The endpoint's log must have reached this position.

    friend bool operator==(const endpoint_statement&, const endpoint_statement&) = default;
};

/// An endpoint's answer to a status request. All values are by the endpoint's own view.
struct endpoint_self_report {
    bool is_primary = false;
    term_number term = 0;   ///< The endpoint's current term.
    log_position received;  ///< End of the log that the endpoint has received.
    millis lag;             ///< Replication lag.

    friend bool operator==(const endpoint_self_report&, const endpoint_self_report&) = default;
};

/// The complete answer to one statement.
struct endpoint_reply {
    result_code code = result_code::none;  ///< `none` if the statement succeeded.
    std::string text;                      ///< Error message.
    std::string proof;
    std::vector<std::string> rows;
    session_state state = session_state::idle;
    std::optional<log_position> position;
    std::optional<endpoint_self_report> status;  ///< Answer to `status` and `demote`.
    bool began_early = false;                    ///< A part of the reply had arrived before the last statement was sent.

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

/// Closes a connection. The endpoint rolls back a transaction that is open on it. No event follows.
struct close_endpoint_connection {
    connection_id connection = 0;

    friend bool operator==(const close_endpoint_connection&, const close_endpoint_connection&) = default;
};

/// Sends statements without waiting for answers in between; the endpoint answers each in order.
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

/// The endpoint refused the connection, or the connection could not be opened, or it broke. Last event of a connection.
struct endpoint_connection_ended {
    connection_id connection = 0;
    result_code code = result_code::none;  ///< Error code from the endpoint; `none` if the endpoint gave none.
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
