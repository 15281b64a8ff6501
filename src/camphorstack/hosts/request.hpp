#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

enum class request_kind : std::uint8_t { read, write, begin, statement, commit, rollback };

/// Outcome of a request. `not_run` is used only if the statement was never written to an endpoint connection or the endpoint
/// refused it.
enum class request_outcome : std::uint8_t { done, not_run, unknown };

/// Reason why a request was not run or its outcome is unknown. The names are part of the interface to callers and metrics.
enum class refusal : std::uint8_t {
    none,
    bad_request,
    bad_key,
    bad_token,
    not_routed,
    over_rate,
    queue_full,
    no_recent_document,
    host_leaving,
    owner_unreachable,
    no_primary,
    deadline,
    connection_lost,
    statement_refused,
    transaction_lost,
};

[[nodiscard]] const char* to_string(request_outcome outcome);
[[nodiscard]] const char* to_string(refusal reason);
[[nodiscard]] const char* to_string(request_kind kind);

/// A request as its entry host sends it to the owner of its database. It does not contain the caller's API key.
struct database_request {
    request_id id;
    workspace_id workspace;
    database_id database;
    request_kind kind = request_kind::read;
    bool idempotent = false;      ///< Running the request twice has the same effect as once, so it may be retried.
    std::string idempotency_key;  ///< If not empty, the database returns the first outcome for a repeated key.
    std::string statement;
    log_position session;           ///< The result must reflect at least this log position.
    std::optional<millis> max_age;  ///< If set, a read may use a replica whose replication age is at most this.
    std::string transaction;        ///< Id of the open transaction, or empty.
    millis time_left;               ///< Time until the deadline when the message was sent.

    friend bool operator==(const database_request&, const database_request&) = default;
};

/// Reply to a `database_request`.
struct database_reply {
    request_id id;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    std::string body;
    log_position session;     ///< Log position that the session has seen with this reply.
    std::string transaction;  ///< Id of the transaction that a `begin` opened, or empty.
    endpoint_id served_by;    ///< Endpoint that ran the request, or empty.

    friend bool operator==(const database_reply&, const database_reply&) = default;
};

}  // namespace camphorstack
