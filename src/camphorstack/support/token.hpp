#pragma once

#include <map>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// What a session has seen, by database. Handed to the caller as a signed token.
struct session_token {
    workspace_id workspace;
    std::map<database_id, log_position> seen;

    friend bool operator==(const session_token&, const session_token&) = default;
};

/// An open transaction and the host that holds its connection. Handed to the caller as a signed token.
struct transaction_token {
    workspace_id workspace;
    database_id database;
    host_id transaction_host;
    std::string transaction;

    friend bool operator==(const transaction_token&, const transaction_token&) = default;
};

/// Text form: base64url of an HMAC-SHA256 and the serialized value, signed with `secret`.
[[nodiscard]] std::string format_token(const session_token& token, const std::string& secret);
[[nodiscard]] std::string format_token(const transaction_token& token, const std::string& secret);

/// Throw format_error if the text was truncated, altered, or signed with another secret or for another use.
[[nodiscard]] session_token parse_session_token(const std::string& text, const std::string& secret);
[[nodiscard]] transaction_token parse_transaction_token(const std::string& text, const std::string& secret);

}  // namespace camphorstack
