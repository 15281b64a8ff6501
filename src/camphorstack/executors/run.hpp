#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"
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
    status,  ///< Asks the endpoint about itself; carries no statement.
};

/// How a run's transaction begins, if it is the first one of its transaction.
enum class transaction_start : std::uint8_t { none, plain, read_only };

/// A statement of a session, to be run at an endpoint by the host that holds connections to it.
struct run_request {
    run_id id = 0;
    endpoint_id endpoint;
    workspace_id workspace;  ///< Empty for a session without a key.
    run_kind kind = run_kind::read;
    std::string statement_id;
    std::string text;                        ///< To be sent unchanged, or what a prepared statement runs with.
    std::optional<prepared_shape> prepared;  ///< The statement to execute.
    std::optional<log_position> after;       ///< The endpoint's log must reach to here.
    std::vector<session_value> values;       ///< Of the session, sorted by name.
    std::uint64_t transaction = 0;           ///< Unique for the origin; 0 for a statement of its own.
    transaction_start start = transaction_start::none;
    leader_round round = 0;    ///< The endpoint must be the leader of this round; 0 for a read at any endpoint.
    millis statement_timeout;  ///< From when it is sent to the endpoint.
    millis queue_timeout;      ///< It is refused if it cannot be sent to the endpoint within this time.
    int priority = 0;          ///< 0 is the highest.

    friend bool operator==(const run_request&, const run_request&) = default;
};

enum class run_outcome : std::uint8_t {
    done,
    failed,   ///< The endpoint answered with an error that says that the statement ran.
    not_run,  ///< It had no effect.
    lost,     ///< It may have run; nothing more will be heard of it.
};

struct run_result {
    run_id id = 0;
    run_outcome outcome = run_outcome::lost;
    result_code code = result_code::none;
    std::string text;  ///< Of the error.
    std::vector<std::string> rows;
    std::string proof;  ///< Given by the endpoint with a success.
    session_state state = session_state::idle;
    std::optional<log_position> position;        ///< Of the endpoint's log.
    leader_round round = 0;                      ///< The position is the primary's of this round; 0 if it is a replica's.
    millis wait;                                 ///< Estimated for the next run at this endpoint.
    bool transaction_open = false;               ///< The transaction is still held by the executor.
    std::optional<endpoint_self_report> status;  ///< Answer to `run_kind::status`.

    friend bool operator==(const run_result&, const run_result&) = default;
};

}  // namespace camphorstack
