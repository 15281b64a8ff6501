#pragma once

#include "camphorstack/executors/executor.hpp"

namespace camphorstack {

/// Reason for which a run is refused that needs a lease which this host does not have.
constexpr const char* no_lease_reason = "this host may not use the endpoint as the primary now";

/// Sends queued runs to the endpoint in the order of their turns, up to the limit of statements in flight, and opens connections
/// for runs that have none.
void dispatch_runs(executor_state& state, endpoint_executor& endpoint, instant now);

/// Returns true if a run outside of the open transactions may use the connection.
[[nodiscard]] bool is_free(const executor_connection& connection);

/// Returns the number of runs in flight at the endpoint.
[[nodiscard]] std::size_t runs_in_flight(const executor_state& state, const endpoint_executor& endpoint);

/// Sends the statement of the connection's run. The run's transaction must already be open.
void send_run(executor_state& state, executor_connection& connection, instant now);

/// Returns true for a status or a demotion that a change of leader needs. Other statuses only ask for the leader's position.
[[nodiscard]] bool is_for_leader_change(const run_request& request);

/// Returns true if the run needs no leader, or if this host holds a lease of the run's round that admits the run.
[[nodiscard]] bool is_run_allowed(const endpoint_executor& endpoint, const run_request& request, instant now);

/// Adds a result to be delivered to the run's origin.
void finish_run(executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, run_result result);

/// Reports a run that had no effect.
void refuse_run(executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, result_code code,
                const char* reason);

/// Closes and removes the connection. The caller has already finished or refused its run.
void drop_connection(executor_state& state, connection_id id);

}  // namespace camphorstack
