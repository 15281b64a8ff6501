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

/// The route of an operation and whom it runs for, as they were when the operation began.
struct session_access {
    workspace_id workspace;  ///< Empty on a route that needs no key.
    database_id database;
    session_policy policy;
    bool in_regions_only = false;      ///< The operation may run only in `regions`.
    std::vector<std::string> regions;  ///< Sorted.

    friend bool operator==(const session_access&, const session_access&) = default;
};

/// Where a run was sent.
struct run_target {
    endpoint_id endpoint;
    host_id host;            ///< That runs it; this host for a direct connection.
    leader_round round = 0;  ///< 0 for a read at any endpoint.

    friend bool operator==(const run_target&, const run_target&) = default;
};

/// A caller's transaction. It begins at an endpoint with its first statement.
struct session_transaction {
    std::uint64_t number = 0;
    bool read_only = false;
    session_access access;
    instant began;
    std::optional<run_target> target;  ///< Once it has begun at an endpoint.
};

enum class operation_stage : std::uint8_t {
    waiting_for_tokens,  ///< Of the workspace's rate.
    waiting_for_leader,
    running,
};

/// The statement that a session waits for.
struct open_operation {
    statement requested;
    session_access access;
    run_kind kind = run_kind::read;
    instant arrived;
    operation_stage stage = operation_stage::running;
    run_id run = 0;
    run_target target;
    instant sent;
    std::set<endpoint_id> tried;      ///< Endpoints that could not run it.
    int attempts = 0;                 ///< Runs started so far.
    bool at_leader = false;           ///< No replica is recent enough.
    bool begins_transaction = false;  ///< The first statement of the session's transaction.
    instant not_before;               ///< While waiting for the leader.
    instant token_deadline;           ///< While waiting for tokens.
};

/// A caller's connection and what belongs to it until it ends.
struct caller_session {
    session_id id = 0;
    std::string database;  ///< Name that the caller asked for.
    std::string key_sha256;
    std::vector<session_value> values;  ///< Sorted by name.
    std::map<std::string, prepared_shape> prepared;
    session_state state = session_state::idle;
    std::optional<session_transaction> transaction;
    std::optional<log_position> written;  ///< End of the session's last acknowledged write.
    leader_round written_round = 0;
    instant written_at;
    std::optional<open_operation> operation;
    std::deque<statement> waiting;  ///< Sent ahead by the caller.
    instant last_used;
};

}  // namespace camphorstack
