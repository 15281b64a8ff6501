#pragma once

#include <cstddef>
#include <string>

#include "camphorstack/hosts/caller.hpp"

namespace camphorstack {

/// Largest body of a caller's request, in bytes.
constexpr std::size_t caller_body_limit = std::size_t{256} * 1024;

/// Largest value of "timeout_ms". A longer one would occupy a request slot after the caller has stopped waiting.
constexpr millis max_caller_timeout{60000};

/// Reads the body of POST /v1/statement. Fields: "route", "database" and "statement" (required), "kind" ("read" or "write";
/// required unless "transaction" is given), "idempotent", "idempotency_key", "max_age_ms", "session", "transaction",
/// "timeout_ms". Throws format_error, whose text is sent to the caller, for malformed JSON, an unknown or missing field and a
/// wrong type or value. Does not set the request number and the hash of the key.
[[nodiscard]] caller_request parse_statement_body(const std::string& body);

/// Reads the body of POST /v1/begin, /v1/commit or /v1/rollback. Fields: "route", "database" (required), "session" and
/// "transaction" (required for commit and rollback, not allowed for begin). Throws format_error as `parse_statement_body` does.
[[nodiscard]] caller_request parse_transaction_body(const std::string& body, request_kind kind);

/// JSON body of a reply: {"outcome", "reason", "result", "session", "transaction", "served_by"}, with "error" in place of
/// "result" unless the outcome is "done".
[[nodiscard]] std::string format_caller_reply(const caller_reply& reply);

/// JSON body of the answer to a request that the HTTP server rejected itself; `text` says what the caller must change.
[[nodiscard]] std::string format_caller_error(refusal reason, const std::string& text);

/// HTTP status code for a reply.
[[nodiscard]] unsigned http_status(request_outcome outcome, refusal reason);

}  // namespace camphorstack
