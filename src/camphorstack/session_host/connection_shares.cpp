#include "camphorstack/session_host/connection_shares.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// An owner that reserves connections for its successor keeps at least this many for each statement that may be in flight. With
/// fewer, workspaces close each other's connections, and opening one costs the endpoint as much as a statement.
constexpr int connections_per_statement = 4;

}  // namespace

std::size_t owner_connection_limit(const endpoint_capacity& capacity, int spare) {
    const int shared = std::max(1, capacity.connections - spare);
    const int needed = connections_per_statement * (std::max(1, capacity.slots) + capacity.extra_in_flight);
    return static_cast<std::size_t>(std::max(shared / 2, std::min(shared, needed)));
}

}  // namespace camphorstack
