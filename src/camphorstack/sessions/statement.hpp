#pragma once

#include <cstdint>
#include <string>

namespace camphorstack {

enum class statement_kind : std::uint8_t {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed,  ///< The statement is not understood, or too long.
};

/// A statement of a caller's session.
struct statement {
    statement_kind kind = statement_kind::read;
    std::string id;        ///< Chosen by the caller; reaches the endpoint unchanged.
    std::string text;      ///< The whole statement as the caller sent it.
    std::string name;      ///< Name of a session value or of a prepared statement.
    std::string argument;  ///< Session value, shape of a statement to prepare, or argument of a prepared statement.
    bool writes = false;   ///< For `prepare`: the prepared statement writes.

    friend bool operator==(const statement&, const statement&) = default;
};

/// State of a session between statements.
enum class session_state : std::uint8_t {
    idle,
    in_transaction,
    failed,  ///< The transaction failed; only COMMIT or ROLLBACK is accepted.
};

/// A value that belongs to a session, such as a time zone.
struct session_value {
    std::string name;
    std::string value;

    friend bool operator==(const session_value&, const session_value&) = default;
};

/// A prepared statement without the caller's name for it.
struct prepared_shape {
    std::string shape;  ///< Text of the statement without its argument.
    bool writes = false;

    friend bool operator==(const prepared_shape&, const prepared_shape&) = default;
};

}  // namespace camphorstack
