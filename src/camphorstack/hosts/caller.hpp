#pragma once

#include <optional>
#include <string>

#include "camphorstack/hosts/request.hpp"

namespace camphorstack {

/// A caller's request as the caller server parsed it. The API key is already hashed.
struct caller_request {
    std::uint64_t request_number = 0;  ///< Assigned by the caller server to match the reply to the request.
    std::string key_sha256;            ///< SHA-256 of the API key; empty if the caller sent none.
    route_id route;
    database_id database;
    request_kind kind = request_kind::read;
    bool idempotent = false;
    std::string idempotency_key;
    std::string statement;
    std::optional<millis> max_age;
    std::string session_token;      ///< Empty for a new session.
    std::string transaction_token;  ///< Token of the open transaction; empty outside of a transaction.
    millis timeout{5000};

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/// Reply to a `caller_request`.
struct caller_reply {
    std::uint64_t request_number = 0;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    std::string body;
    std::string session_token;
    std::string transaction_token;
    endpoint_id served_by;
    workspace_id workspace;  ///< Label for the metrics; empty if the API key is unknown.

    friend bool operator==(const caller_reply&, const caller_reply&) = default;
};

}  // namespace camphorstack
