#pragma once

#include <map>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Log positions that a session has observed, by database. Given to the caller as a signed token.
struct session_token {
    workspace_id workspace;
    std::map<database_id, log_position> seen;

    friend bool operator==(const session_token&, const session_token&) = default;
};

/// An open transaction and the host that holds its connection. Given to the caller as a signed token.
struct transaction_token {
    workspace_id workspace;
    database_id database;
    host_id transaction_host;
    std::string transaction;

    friend bool operator==(const transaction_token&, const transaction_token&) = default;
};

/// Return the token as base64url text of an HMAC-SHA256 with the key `secret`, followed by the serialized value.
[[nodiscard]] std::string format_token(const session_token& token, const std::string& secret);
[[nodiscard]] std::string format_token(const transaction_token& token, const std::string& secret);

/// Throw format_error if the text was truncated or altered, or if it was signed with another secret or for another purpose.
[[nodiscard]] session_token parse_session_token(const std::string& text, const std::string& secret);
[[nodiscard]] transaction_token parse_transaction_token(const std::string& text, const std::string& secret);

}  // namespace camphorstack
