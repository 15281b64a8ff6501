#pragma once

#include <cstddef>

namespace camphorstack {

/// Connections that an endpoint accepts, and the statements that it runs at a time.
struct endpoint_capacity {
    int connections = 0;  ///< From all hosts together.
    int slots = 1;
    int extra_in_flight = 0;  ///< Statements that the owner sends beyond the slots.

    friend bool operator==(const endpoint_capacity&, const endpoint_capacity&) = default;
};

/// Returns the most connections that the owner of an endpoint may have open, at least one.
///
/// An endpoint holds the connections of a host that has lost power until it notices, and refuses all others once its limit is
/// reached. So an owner leaves `spare` connections to hosts that cannot reach it, and as many as it uses itself to its successor,
/// if what is left to it then is enough for the statements in flight of several workspaces: a connection serves one workspace.
[[nodiscard]] std::size_t owner_connection_limit(const endpoint_capacity& capacity, int spare);

}  // namespace camphorstack
