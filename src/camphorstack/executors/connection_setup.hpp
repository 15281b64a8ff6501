#pragma once

#include <vector>

#include "camphorstack/executors/executor.hpp"

namespace camphorstack {

/// Returns the name under which the host prepares a statement, without blanks. Callers' own names would collide on shared
/// connections.
[[nodiscard]] std::string prepared_name(const prepared_shape& shape);

/// Returns true if the connection's session values are already those that the run needs.
[[nodiscard]] bool has_session_values(const executor_connection& connection, const std::vector<session_value>& values);

/// Returns the statements that set the run's session values and prepare its statement on the connection, and updates the
/// connection's record of both.
[[nodiscard]] std::vector<endpoint_statement> make_setup_statements(executor_connection& connection, const run_request& request,
                                                                    std::size_t prepared_limit);

}  // namespace camphorstack
