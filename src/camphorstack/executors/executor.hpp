#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/executors/answer_matching.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"
#include "camphorstack/executors/run.hpp"
#include "camphorstack/executors/run_order.hpp"
#include "camphorstack/usage/usage_counter.hpp"

namespace camphorstack {

struct executor_settings {
    /// Statements in flight at an endpoint beyond its slots. They hide the latency between host and endpoint, and wait at the
    /// endpoint without priority.
    int extra_in_flight = 2;
    millis connect_timeout{1000};   ///< Twice the longest latency between regions, with time for a lost first packet.
    millis begin_timeout{1000};     ///< Time limit for BEGIN and ROLLBACK, which the host sends itself and which take no slot.
    millis silence_limit{600};      ///< An endpoint with statements in flight is suspected after this time without an answer.
    millis reconnect_interval{50};  ///< Wait before the next connection after one could not be opened.
    /// Refused connections in a row after which an endpoint is suspected. Only those count where nothing listens at the address.
    int refusals_to_suspect = 2;
    /// A suspicion ends this long after the last failed attempt, as nothing may be sent to a suspected endpoint that would show
    /// that it answers again.
    millis suspicion_lifetime{1000};
    std::size_t prepared_limit = 64;  ///< Most prepared statements on one connection.
    /// A success still counts until this long after the lease has ended, since a change of leader takes longer.
    millis late_answer_tolerance{200};

    friend bool operator==(const executor_settings&, const executor_settings&) = default;
};

/// A transaction of one origin. The origin is the host that the caller's session belongs to.
struct transaction_key {
    host_id origin;
    std::uint64_t number = 0;

    friend auto operator<=>(const transaction_key&, const transaction_key&) = default;  // NOLINT(modernize-use-nullptr)
};

enum class connection_stage : std::uint8_t {
    opening,
    idle,
    beginning,  ///< The transaction's first statement waits for the answer to BEGIN.
    running,
    rolling_back,
};

/// A connection to an endpoint.
struct executor_connection {
    connection_id id = 0;
    endpoint_id endpoint;
    workspace_id workspace;
    connection_stage stage = connection_stage::opening;
    instant since;                              ///< When the stage began.
    std::map<std::string, std::string> values;  ///< Session values set on the connection, by name.
    std::set<std::string> prepared;             ///< Names of the statements prepared on the connection.
    std::optional<transaction_key> transaction;
    leader_round round = 0;            ///< Round of the open transaction; 0 if it does not need the leader.
    bool rollback_requested = false;   ///< The transaction is rolled back once the statement in flight is answered.
    std::size_t setup_replies = 0;     ///< Replies to setup statements that are expected before the reply to BEGIN or to the run.
    std::optional<submitted_run> run;  ///< The run in flight.
    delivered_proofs delivered;
    row_hashes last_rows;                    ///< Of the last answer that had rows.
    std::optional<log_position> last_begin;  ///< Position in the last confirmation that left the endpoint in a transaction.
    bool has_delivered_status = false;       ///< A further status on this connection may be a repetition.
};

/// The right of this host to use an endpoint as its database's primary until a given time.
struct leader_lease {
    leader_round round = 0;
    instant until;
    bool closing = false;  ///< Only statements of open transactions may be sent.

    friend bool operator==(const leader_lease&, const leader_lease&) = default;
};

/// What became of an endpoint's queued runs since the host started.
struct run_queue_totals {
    std::uint64_t refused_at_arrival = 0;  ///< Could not have been sent within their queue timeouts.
    std::uint64_t refused_after_wait = 0;  ///< Were not sent within their queue timeouts.
    std::uint64_t late = 0;                ///< Missed their targets while they waited.

    friend bool operator==(const run_queue_totals&, const run_queue_totals&) = default;
};

/// One endpoint's queue and connections at this host.
struct endpoint_executor {
    endpoint_entry entry;
    std::size_t connection_limit = 0;
    run_queue queue;
    run_queue_totals totals;
    std::set<connection_id> connections;
    std::optional<leader_lease> lease;
    service_times service;
    instant last_answer;
    std::optional<instant> unanswered_since;  ///< Since when statements or connections have been in flight without any answer.
    std::optional<instant> last_timeout;      ///< When a connection was last given up during such a silence.
    int refusals = 0;                         ///< Refused connections in a row.
    instant last_refusal;
    instant not_before;                           ///< No connection is opened earlier.
    std::optional<log_position> newest_position;  ///< Highest position in the answers outside of transactions.
    std::optional<primary_answer> newest_answer;  ///< As the primary, the answer that was asked for last.
};

/// A result and the host that it goes to.
struct addressed_result {
    host_id origin;
    run_result result;
    endpoint_id endpoint;  ///< Empty for a run that was not sent to an executor.

    friend bool operator==(const addressed_result&, const addressed_result&) = default;
};

/// A reply of an endpoint that is not the answer that its connection waited for. Recorded for the log and the metrics.
struct stray_answer {
    endpoint_id endpoint;
    connection_id connection = 0;
    answer_match match = answer_match::repeated;
    awaited_answer awaited = awaited_answer::none;
    std::string statement_id;  ///< Of the awaited statement; empty if that is not a caller's.
    result_code code = result_code::none;

    friend bool operator==(const stray_answer&, const stray_answer&) = default;
};

/// State of one host's executor, which runs statements at endpoints: queues, connections and open transactions.
struct executor_state {
    executor_settings settings;
    std::map<endpoint_id, endpoint_executor> endpoints;
    std::map<connection_id, executor_connection> connections;
    std::map<transaction_key, connection_id> transactions;
    connection_id next_connection = 1;
    std::vector<executor_action> actions;     ///< To be carried out; taken by the caller.
    std::vector<addressed_result> results;    ///< To be delivered; taken by the caller.
    std::vector<stray_answer> stray_answers;  ///< To be logged; taken by the caller.
    std::vector<started_operation> started;   ///< Callers' operations that ran or may have run; taken by the caller.
};

/// An endpoint that this host may use, and its share of the endpoint's connections.
struct endpoint_share {
    endpoint_entry entry;
    std::size_t connection_limit = 0;  ///< Most connections of this host to the endpoint.

    friend bool operator==(const endpoint_share&, const endpoint_share&) = default;
};

/// Replaces the endpoints that may be used. Connections to other endpoints are closed once they are idle.
void set_endpoints(executor_state& state, const std::map<endpoint_id, endpoint_share>& shares, instant now);

/// Replaces the lease of an endpoint. Without a lease, or with another round than before, queued runs of the former round are
/// refused, and runs that may have taken effect are reported as lost.
void set_leader_lease(executor_state& state, const endpoint_id& endpoint, const std::optional<leader_lease>& lease, instant now);

/// Returns true if the endpoint has no runs in flight or open transactions that need a lease.
[[nodiscard]] bool is_leader_work_done(const executor_state& state, const endpoint_id& endpoint);

void submit_run(executor_state& state, const host_id& origin, run_request request, instant now);

/// Rolls the transaction back if it is open, and drops its queued runs.
void end_transaction(executor_state& state, const transaction_key& transaction, instant now);

/// Rolls back the transactions of an origin whose link has broken, and drops its queued runs.
void drop_origin(executor_state& state, const host_id& origin, instant now);

void on_connection_opened(executor_state& state, const endpoint_connection_opened& event, instant now);
void on_connection_ended(executor_state& state, const endpoint_connection_ended& event, instant now);
void on_endpoint_reply(executor_state& state, const endpoint_reply_received& event, instant now);

/// Closes connections whose stage has reached its time limit, and refuses runs that have waited too long.
void executor_tick(executor_state& state, instant now);

/// Returns the time for which the run would wait if it were queued now.
[[nodiscard]] millis expected_wait(const executor_state& state, const endpoint_executor& endpoint, const submitted_run& run,
                                   instant now);

/// Returns the estimated queue wait of a further run at the endpoint, behind all runs that are not late.
[[nodiscard]] millis estimated_wait(const executor_state& state, const endpoint_executor& endpoint);

/// Returns true if the endpoint refuses connections or has not answered for too long.
[[nodiscard]] bool is_suspected(const executor_state& state, const endpoint_executor& endpoint, instant now);

/// Returns the number of queued runs, runs in flight and open transactions at all endpoints.
[[nodiscard]] std::size_t count_open_work(const executor_state& state);

}  // namespace camphorstack
