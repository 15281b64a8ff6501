#pragma once

#include <cstddef>
#include <string>

#include "camphorstack/hosts/caller.hpp"

namespace camphorstack {

/// Largest request body in bytes.
constexpr std::size_t caller_body_limit = std::size_t{256} * 1024;

/// Largest value of "timeout_ms"; a longer wait would hold a caller's slot after it has given up.
constexpr millis max_caller_timeout{60000};

/// Reads the body of POST /v1/statement. Fields: "route", "database" and "statement" (required), "kind" ("read" or "write";
/// required unless "transaction" is given), "idempotent", "idempotency_key", "max_age_ms", "session", "transaction",
/// "timeout_ms". Throws format_error with a sentence for the caller: malformed JSON, an unknown or missing field, a wrong type or
/// value. The ticket and the key's hash are left empty.
[[nodiscard]] caller_request parse_statement_body(const std::string& body);

/// Reads the body of POST /v1/begin, /v1/commit or /v1/rollback. Fields: "route", "database" (required), "session" and
/// "transaction" (required except for begin, which must not have it). Throws format_error as above.
[[nodiscard]] caller_request parse_transaction_body(const std::string& body, request_kind kind);

/// {"outcome", "reason", "result", "session", "transaction", "served_by"}
[[nodiscard]] std::string format_caller_reply(const caller_reply& reply);

/// The body of a request that this host's HTTP server rejected itself; `text` tells the caller what to change.
[[nodiscard]] std::string format_caller_error(refusal reason, const std::string& text);

/// HTTP status code for a reply.
[[nodiscard]] unsigned http_status(request_outcome outcome, refusal reason);

}  // namespace camphorstack
