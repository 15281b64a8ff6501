#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/document/document.hpp"
#include "camphorstack/executors/run.hpp"
#include "camphorstack/sessions/statement.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Numbers the callers' connections of one host's process.
using session_id = std::uint64_t;

/// The route and the workspace of an operation, as they were when the operation began.
struct session_access {
    workspace_id workspace;  ///< Empty on a route that needs no key.
    database_id database;
    session_policy policy;
    bool in_regions_only = false;      ///< The operation may run only in `regions`.
    std::vector<std::string> regions;  ///< Sorted.

    friend bool operator==(const session_access&, const session_access&) = default;
};

/// Where a run is sent.
struct run_target {
    endpoint_id endpoint;
    host_id host;            ///< The host that executes the run; this host for a direct connection.
    leader_round round = 0;  ///< 0 for a read at any endpoint.

    friend bool operator==(const run_target&, const run_target&) = default;
};

/// A caller's transaction. The host sends BEGIN to an endpoint only with the transaction's first statement.
struct session_transaction {
    std::uint64_t number = 0;
    bool read_only = false;
    session_access access;
    instant began;
    std::optional<run_target> target;  ///< Set once the transaction has begun at an endpoint.
};

enum class operation_stage : std::uint8_t {
    waiting_for_tokens,  ///< Waits for tokens of the workspace's rate limit.
    waiting_for_leader,  ///< Waits for a leader that this host may use.
    running,
};

/// The statement that a session is executing. An operation may take several runs.
struct open_operation {
    statement requested;
    session_access access;
    run_kind kind = run_kind::read;
    instant arrived;
    operation_stage stage = operation_stage::running;
    run_id run = 0;
    run_target target;
    instant sent;
    std::set<endpoint_id> tried;        ///< Endpoints that could not run the statement.
    int attempts = 0;                   ///< Runs started so far.
    std::optional<log_position> after;  ///< Position that the endpoint of the current run must have reached.
    bool begins_transaction = false;    ///< The first statement of the session's transaction.
    instant not_before;                 ///< While waiting for the leader: no run is started earlier.
    instant token_deadline;             ///< While waiting for tokens: the operation is refused then.
};

/// A session's last acknowledged write of one database.
struct session_write {
    leader_round round = 0;
    std::optional<log_position> position;  ///< In the database's log, at or after the write; empty if the answer named none.
    instant acknowledged;

    friend bool operator==(const session_write&, const session_write&) = default;
};

/// A caller's connection and its state. Connections to endpoints are not sessions: statements of many sessions share them.
struct caller_session {
    session_id id = 0;
    std::string database;                            ///< Name of the route that the caller asked for.
    std::string key_sha256;                          ///< Lower-case hexadecimal.
    std::vector<session_value> values;               ///< Sorted by name.
    std::map<std::string, prepared_shape> prepared;  ///< Prepared statements by the caller's names.
    std::size_t held_bytes = 0;                      ///< Names, values and shapes.
    session_state state = session_state::idle;
    std::optional<session_transaction> transaction;
    std::map<database_id, session_write> last_writes;  ///< A route may lead to several databases, one after the other.
    std::optional<open_operation> operation;
    std::deque<statement> waiting;  ///< Statements that the caller has sent ahead, without waiting for the current one's answer.
    bool sends_ahead = false;       ///< The caller has sent a statement before it had the answer to the one before.
    instant last_used;
};

}  // namespace camphorstack
