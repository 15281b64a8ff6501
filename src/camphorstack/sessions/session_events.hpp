#pragma once

#include <cstdint>
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
    std::string key_sha256;  ///< Lower-case hexadecimal; the key itself does not leave the caller's link.

    friend bool operator==(const session_requested&, const session_requested&) = default;
};

struct statement_received {
    session_id session = 0;
    statement requested;

    friend bool operator==(const statement_received&, const statement_received&) = default;
};

/// A caller's connection is ended because a message on it is not understood.
struct message_refused {
    session_id session = 0;
    result_code code = result_code::malformed;
    std::size_t bytes = 0;  ///< Length of the message, without its end.
    bool started = false;   ///< The session had started.

    friend bool operator==(const message_refused&, const message_refused&) = default;
};

/// Why a caller is closed or refused to keep the process within its limits.
enum class caller_close_reason : std::uint8_t {
    connections,     ///< All callers together have as many connections as the descriptors allow.
    address,         ///< The caller's address has too many connections.
    start_time,      ///< START is not complete in time.
    message_time,    ///< A message is not complete in time.
    slow_message,    ///< Long messages of others wait for memory, and this one has been unfinished for longest.
    answer_time,     ///< The caller takes no bytes of its answer.
    answer_size,     ///< Answers that are not taken use all their memory, and this caller's are the largest.
    session_values,  ///< Values and shapes of all sessions use all their memory, and this session's are the largest.
};

/// Returns the name of the reason, for logs and metrics.
[[nodiscard]] constexpr const char* to_string(caller_close_reason reason) {
    switch (reason) {
        case caller_close_reason::connections:
            return "connections";
        case caller_close_reason::address:
            return "address";
        case caller_close_reason::start_time:
            return "start_time";
        case caller_close_reason::message_time:
            return "message_time";
        case caller_close_reason::slow_message:
            return "slow_message";
        case caller_close_reason::answer_time:
            return "answer_time";
        case caller_close_reason::answer_size:
            return "answer_size";
        case caller_close_reason::session_values:
            return "session_values";
    }
    return "";
}

/// A caller's connection is closed to keep the process within its limits. `session_ended` follows if a session had started.
struct caller_closed {
    session_id session = 0;
    caller_close_reason reason = caller_close_reason::connections;
    std::string address;    ///< Of the caller, "ip:port".
    std::size_t bytes = 0;  ///< What the caller held of the part that is at its limit.

    friend bool operator==(const caller_closed&, const caller_closed&) = default;
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

/// Refuses a session: answers the caller with the reason and closes the connection.
struct reject_session {
    session_id session = 0;
    result_code code = result_code::busy;
    std::string text;

    friend bool operator==(const reject_session&, const reject_session&) = default;
};

/// Closes the connection of a session that has no statement in flight.
struct close_session {
    session_id session = 0;

    friend bool operator==(const close_session&, const close_session&) = default;
};

/// The complete answer to one statement.
struct answer_statement {
    session_id session = 0;
    result_code code = result_code::none;
    std::string text;  ///< Error message.
    std::vector<std::string> rows;
    std::string proof;  ///< The endpoint's proof of success; empty if the host itself answers.
    session_state state = session_state::idle;
    std::optional<log_position> position;

    friend bool operator==(const answer_statement&, const answer_statement&) = default;
};

using session_action = std::variant<accept_session, reject_session, close_session, answer_statement>;

}  // namespace camphorstack
