#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/sessions/caller_session.hpp"

namespace camphorstack {

/// A caller asks for a session.
struct session_requested {
    session_id session = 0;
    std::string database;
    std::string key_sha256;  ///< Lower-case hexadecimal; the key itself stays in the link.

    friend bool operator==(const session_requested&, const session_requested&) = default;
};

struct statement_received {
    session_id session = 0;
    statement requested;

    friend bool operator==(const statement_received&, const statement_received&) = default;
};

/// The caller ended the session or its connection broke.
struct session_ended {
    session_id session = 0;

    friend bool operator==(const session_ended&, const session_ended&) = default;
};

struct accept_session {
    session_id session = 0;

    friend bool operator==(const accept_session&, const accept_session&) = default;
};

/// Tells the caller why and closes the connection.
struct reject_session {
    session_id session = 0;
    result_code code = result_code::busy;
    std::string text;

    friend bool operator==(const reject_session&, const reject_session&) = default;
};

/// Closes the connection of a session without a statement in flight.
struct close_session {
    session_id session = 0;

    friend bool operator==(const close_session&, const close_session&) = default;
};

/// The complete answer to one statement.
struct answer_statement {
    session_id session = 0;
    result_code code = result_code::none;
    std::string text;  ///< Of an error.
    std::vector<std::string> rows;
    std::string proof;  ///< Of the endpoint; empty if the host itself answers.
    session_state state = session_state::idle;
    std::optional<log_position> position;

    friend bool operator==(const answer_statement&, const answer_statement&) = default;
};

using session_action = std::variant<accept_session, reject_session, close_session, answer_statement>;

}  // namespace camphorstack
