#pragma once

#include <string>
#include <vector>

#include "session_fleet/session_fleet.hpp"

namespace camphorstack::session_tests {

/// Moves the `read_your_writes` route of the first database to another database's service. Returns once all hosts have the
/// document. Fails the test if they have not within a second.
void move_route(session_fleet& fleet, std::size_t database);

/// Returns the endpoints of the database that ran the reads with ids that begin with `prefix`, in the order of the runs.
[[nodiscard]] std::vector<endpoint_id> endpoints_of_reads(session_fleet& fleet, std::size_t database, const std::string& prefix);

}  // namespace camphorstack::session_tests
