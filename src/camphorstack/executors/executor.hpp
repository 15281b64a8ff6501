#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"
#include "camphorstack/executors/run.hpp"

namespace camphorstack {

struct executor_settings {
    /// Statements at an endpoint beyond its slots: they hide the way between host and endpoint, and wait there without priority.
    int extra_in_flight = 2;
    millis connect_timeout{1000};       ///< Twice the longest way between regions, with room for a lost first packet.
    millis begin_timeout{1000};         ///< For the host's own statements, which take no slot.
    millis silence_limit{600};          ///< An endpoint with work that answers nothing for this long is suspected.
    millis reconnect_interval{50};      ///< Between attempts to reach an endpoint that refuses connections.
    int refusals_to_suspect = 2;        ///< In a row, by an address where nothing listens.
    std::size_t prepared_limit = 64;    ///< Prepared statements kept on one connection.
    millis late_answer_tolerance{200};  ///< A change of leader takes the endpoint longer than this after the right has ended.

    friend bool operator==(const executor_settings&, const executor_settings&) = default;
};

/// A transaction of one origin. The origin is the host that the caller's session belongs to.
struct transaction_key {
    host_id origin;
    std::uint64_t number = 0;

    friend auto operator<=>(const transaction_key&, const transaction_key&) = default;  // NOLINT(modernize-use-nullptr)
};

/// A run and the host that its result goes to.
struct submitted_run {
    host_id origin;
    run_request request;
    instant arrived;
};

enum class connection_stage : std::uint8_t {
    opening,
    idle,
    beginning,  ///< The transaction's first statement waits for the answer to its beginning.
    running,
    rolling_back,
};

/// A connection to an endpoint.
struct executor_connection {
    connection_id id = 0;
    endpoint_id endpoint;
    workspace_id workspace;
    connection_stage stage = connection_stage::opening;
    instant since;  ///< When the stage began.
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    std::optional<transaction_key> transaction;
    leader_round round = 0;           ///< Of the open transaction.
    bool rollback_requested = false;  ///< The transaction ends once the statement in flight is answered.
    std::size_t setup_replies = 0;    ///< Replies to expect before the one that the stage waits for.
    bool setup_failed = false;
    std::optional<submitted_run> run;  ///< In flight.
};

/// The right to use an endpoint as its database's primary. It ends by itself.
struct leader_lease {
    leader_round round = 0;
    instant until;
    bool closing = false;  ///< Only open transactions may go on.

    friend bool operator==(const leader_lease&, const leader_lease&) = default;
};

/// One endpoint's queue and connections at this host.
struct endpoint_executor {
    endpoint_entry entry;
    std::size_t connection_limit = 0;
    std::deque<submitted_run> queue;
    std::set<connection_id> connections;
    std::optional<leader_lease> lease;
    double mean_service_ms = 15;  ///< Of one statement in one slot; moves with the answers.
    instant last_answer;
    std::optional<instant> unanswered_since;  ///< Oldest moment since which something was in flight and nothing was answered.
    int refusals = 0;                         ///< In a row.
    instant not_before;                       ///< No connection is opened earlier.
};

/// A result and the host that it goes to.
struct addressed_result {
    host_id origin;
    run_result result;

    friend bool operator==(const addressed_result&, const addressed_result&) = default;
};

/// Runs statements at endpoints: queues, connections and open transactions of one host.
struct executor_state {
    executor_settings settings;
    std::map<endpoint_id, endpoint_executor> endpoints;
    std::map<connection_id, executor_connection> connections;
    std::map<transaction_key, connection_id> transactions;
    connection_id next_connection = 1;
    std::vector<executor_action> actions;   ///< To be carried out; taken by the caller.
    std::vector<addressed_result> results;  ///< To be delivered; taken by the caller.
};

/// What this host may use an endpoint for.
struct endpoint_share {
    endpoint_entry entry;
    std::size_t connection_limit = 0;

    friend bool operator==(const endpoint_share&, const endpoint_share&) = default;
};

/// Takes over the endpoints that may be used. Connections to others are closed once they are idle.
void set_endpoints(executor_state& state, const std::map<endpoint_id, endpoint_share>& shares, instant now);

/// Replaces the right to use an endpoint as a primary. Without a right, or with another round than before, runs of the former
/// round are refused, and what may have run is reported as lost.
void set_leader_lease(executor_state& state, const endpoint_id& endpoint, const std::optional<leader_lease>& lease, instant now);

/// True if nothing of the endpoint's leader work is in flight or open.
[[nodiscard]] bool is_leader_work_done(const executor_state& state, const endpoint_id& endpoint);

void submit_run(executor_state& state, const host_id& origin, run_request request, instant now);

/// Rolls the transaction back if it is open.
void end_transaction(executor_state& state, const transaction_key& transaction, instant now);

/// The origin is gone: rolls back its transactions and drops its queued runs.
void drop_origin(executor_state& state, const host_id& origin, instant now);

void on_connection_opened(executor_state& state, const endpoint_connection_opened& event, instant now);
void on_connection_ended(executor_state& state, const endpoint_connection_ended& event, instant now);
void on_endpoint_reply(executor_state& state, const endpoint_reply_received& event, instant now);

/// Ends what has waited too long.
void executor_tick(executor_state& state, instant now);

/// Estimated wait of a further run before it is sent to the endpoint.
[[nodiscard]] millis estimated_wait(const executor_state& state, const endpoint_executor& endpoint);

/// True if the endpoint refuses connections or has not answered for too long.
[[nodiscard]] bool is_suspected(const executor_state& state, const endpoint_executor& endpoint, instant now);

/// Runs in flight or open transactions at all endpoints.
[[nodiscard]] std::size_t count_open_work(const executor_state& state);

}  // namespace camphorstack
