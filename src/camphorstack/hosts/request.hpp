#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

enum class request_kind : std::uint8_t { read, write, begin, statement, commit, rollback };

/// `not_run` is only used when the statement was never written to an endpoint connection or the endpoint refused it.
enum class request_outcome : std::uint8_t { done, not_run, unknown };

/// Why a request was not run or is unknown. Names are stable: callers and metrics see them.
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

/// A request as an entry host hands it to the owner of its database. It carries no caller's key.
struct database_request {
    request_id id;
    workspace_id workspace;
    database_id database;
    request_kind kind = request_kind::read;
    bool idempotent = false;      ///< Running it twice has the same effect as once, so it may be sent again.
    std::string idempotency_key;  ///< When not empty, the database returns the first outcome for the same key.
    std::string statement;
    log_position session;           ///< The answer must reflect at least this position.
    std::optional<millis> max_age;  ///< A read may use a replica whose replication age is at most this.
    std::string transaction;        ///< Id of the open transaction, or empty.
    millis time_left;               ///< Until the caller's deadline, when the message was sent.

    friend bool operator==(const database_request&, const database_request&) = default;
};

struct database_reply {
    request_id id;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    std::string body;
    log_position session;     ///< Position that the session has now seen.
    std::string transaction;  ///< Id of the transaction that a begin opened, or empty.
    endpoint_id served_by;    ///< Instance that ran the request, or empty.

    friend bool operator==(const database_reply&, const database_reply&) = default;
};

}  // namespace camphorstack
