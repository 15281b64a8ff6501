#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"
#include "camphorstack/executors/known_position.hpp"
#include "camphorstack/sessions/result_code.hpp"
#include "camphorstack/sessions/statement.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Numbers the runs of one host's process.
using run_id = std::uint64_t;

enum class run_kind : std::uint8_t {
    read,
    write,
    commit,
    status,  ///< Requests the endpoint's status; carries no statement.
    demote,  ///< Makes a former primary a replica; `text` is the term of the new primary. Not sent to other hosts.
};

/// Returns true if the run carries no statement of a caller.
[[nodiscard]] constexpr bool is_administrative(run_kind kind) {
    return kind == run_kind::status || kind == run_kind::demote;
}

/// How a run begins its transaction; `none` if the run is not the first one of a transaction.
enum class transaction_start : std::uint8_t { none, plain, read_only };

/// A request to a host that has connections to an endpoint. A run is one attempt to execute a statement of a session at an
/// endpoint; a statement may take several runs.
struct run_request {
    run_id id = 0;
    endpoint_id endpoint;
    database_id database;    ///< The endpoint must belong to it. Empty in runs of earlier versions, which do not name it.
    workspace_id workspace;  ///< Empty for a session without a key.
    run_kind kind = run_kind::read;
    std::string statement_id;                ///< Chosen by the caller.
    std::string text;                        ///< The statement, sent unchanged, or the argument of the prepared statement.
    std::optional<prepared_shape> prepared;  ///< The prepared statement to execute.
    std::optional<log_position> after;       ///< The endpoint's log must have reached this position.
    std::vector<session_value> values;       ///< The session's values, sorted by name.
    std::uint64_t transaction = 0;           ///< Number of the transaction, unique for the origin; 0 outside of a transaction.
    transaction_start start = transaction_start::none;
    leader_round round = 0;    ///< The endpoint must be the leader of this round; 0 for a read at any endpoint.
    millis statement_timeout;  ///< Time limit from when the statement is sent to the endpoint.
    millis queue_timeout;      ///< The run is refused if it cannot be sent to the endpoint within this time.
    millis start_target;       ///< The run meets its route's target if it is sent within this time; 0 means `queue_timeout`.
    int priority = 0;          ///< 0 is the highest.
    bool accepts_known_position = false;  ///< A status run may be answered with `run_result::known` alone.

    friend bool operator==(const run_request&, const run_request&) = default;
};

/// A run in the queue or in flight, and the host that its result goes to.
struct submitted_run {
    host_id origin;
    run_request request;
    instant arrived;
    instant sent = {};  ///< When the statement was sent to the endpoint.
};

enum class run_outcome : std::uint8_t {
    done,
    failed,   ///< The endpoint answered with an error after the statement ran.
    not_run,  ///< The run had no effect.
    lost,     ///< The statement may have run; no answer will arrive.
};

/// Returns true if the run belongs to a transaction that has begun at the endpoint.
[[nodiscard]] inline bool continues_transaction(const run_request& request) {
    return request.transaction != 0 && request.start == transaction_start::none;
}

struct run_result {
    run_id id = 0;
    run_outcome outcome = run_outcome::lost;
    result_code code = result_code::none;
    std::string text;  ///< Error message.
    std::vector<std::string> rows;
    std::string proof;  ///< Proof of the endpoint that the statement succeeded.
    session_state state = session_state::idle;
    std::optional<log_position> position;  ///< Position of the endpoint's log.
    leader_round round = 0;         ///< Round in which the endpoint was the leader at `position`; 0 for a replica's position.
    millis wait;                    ///< Estimated queue wait of the next run at this endpoint.
    bool transaction_open = false;  ///< The run's transaction is still open at the endpoint.
    std::optional<endpoint_self_report> status;  ///< Answer to `run_kind::status` and `run_kind::demote`.
    std::optional<known_position> known;         ///< Newest position of the primary that the sender knows.

    friend bool operator==(const run_result&, const run_result&) = default;
};

}  // namespace camphorstack
