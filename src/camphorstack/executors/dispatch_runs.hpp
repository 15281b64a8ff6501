#pragma once

#include "camphorstack/executors/executor.hpp"

namespace camphorstack {

/// Sends queued runs to the endpoint, in the order of their priority, as long as it has room; opens connections for them.
void dispatch_runs(executor_state& state, endpoint_executor& endpoint, instant now);

/// Statements in flight at the endpoint.
[[nodiscard]] std::size_t runs_in_flight(const executor_state& state, const endpoint_executor& endpoint);

/// Sends the statement of the connection's run, whose transaction is open if it needs one.
void send_run(executor_state& state, executor_connection& connection, instant now);

/// Whether the host may use the endpoint for the run now.
[[nodiscard]] bool is_run_allowed(const endpoint_executor& endpoint, const run_request& request, instant now);

/// Hands a result to the run's origin.
void finish_run(executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, run_result result);

/// Reports a run that had no effect.
void refuse_run(executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, result_code code,
                const char* reason);

/// Closes the connection and forgets it; the caller has dealt with its run.
void drop_connection(executor_state& state, connection_id id);

}  // namespace camphorstack
