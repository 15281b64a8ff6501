#pragma once

#include <vector>

#include "camphorstack/executors/executor.hpp"

namespace camphorstack {

/// Name under which the host prepares a shape. Callers' own names collide on shared connections.
[[nodiscard]] std::string prepared_name(const prepared_shape& shape);

/// Whether the connection's session values are already those that the run needs.
[[nodiscard]] bool has_session_values(const executor_connection& connection, const std::vector<session_value>& values);

/// Statements that give the connection the run's session values and its prepared statement; changes the connection's record of
/// both.
[[nodiscard]] std::vector<endpoint_statement> make_setup_statements(executor_connection& connection, const run_request& request,
                                                                    std::size_t prepared_limit);

}  // namespace camphorstack
