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
    malformed,  ///< Not understood, or too long.
};

/// A statement of a caller's session.
struct statement {
    statement_kind kind = statement_kind::read;
    std::string id;        ///< Chosen by the caller; reaches the endpoint unchanged.
    std::string text;      ///< The whole statement as the caller sent it.
    std::string name;      ///< Of a session value or of a prepared statement.
    std::string argument;  ///< A session value, a prepared statement's shape, or what a prepared statement runs with.
    bool writes = false;   ///< Whether a statement to be prepared writes.

    friend bool operator==(const statement&, const statement&) = default;
};

/// State of a session between statements.
enum class session_state : std::uint8_t {
    idle,
    in_transaction,
    failed,  ///< The transaction failed; only its end is accepted.
};

/// A value that belongs to a session, such as a time zone.
struct session_value {
    std::string name;
    std::string value;

    friend bool operator==(const session_value&, const session_value&) = default;
};

/// What a prepared statement does, apart from its name.
struct prepared_shape {
    std::string shape;
    bool writes = false;

    friend bool operator==(const prepared_shape&, const prepared_shape&) = default;
};

}  // namespace camphorstack
