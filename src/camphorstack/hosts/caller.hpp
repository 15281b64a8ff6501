#pragma once

#include <optional>
#include <string>

#include "camphorstack/hosts/request.hpp"

namespace camphorstack {

/// A caller's request as the callers' link read it. The key has been hashed already.
struct caller_request {
    std::uint64_t request_number = 0;  ///< The link's own number for the open request.
    std::string key_sha256;            ///< Empty if the caller sent no key.
    route_id route;
    database_id database;
    request_kind kind = request_kind::read;
    bool idempotent = false;
    std::string idempotency_key;
    std::string statement;
    std::optional<millis> max_age;
    std::string session_token;      ///< Empty for a new session.
    std::string transaction_token;  ///< Of the open transaction, or empty.
    millis timeout{5000};

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

struct caller_reply {
    std::uint64_t request_number = 0;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    std::string body;
    std::string session_token;
    std::string transaction_token;
    endpoint_id served_by;
    workspace_id workspace;  ///< For the metrics; empty if the key is not known.

    friend bool operator==(const caller_reply&, const caller_reply&) = default;
};

}  // namespace camphorstack
