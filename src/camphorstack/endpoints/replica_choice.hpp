#pragma once

#include <vector>

#include "camphorstack/endpoints/group_step.hpp"
#include "camphorstack/endpoints/pool.hpp"

namespace camphorstack {

/// An instance and its load when a request is dispatched.
struct loaded_instance {
    group_instance* instance = nullptr;
    instance_load load;
};

/// When an instance must be able to run one more statement.
enum class capacity : std::uint8_t {
    now,   ///< At once, on a validated idle connection.
    soon,  ///< Once a connection is ready.
};

[[nodiscard]] bool has_capacity(const loaded_instance& candidate, capacity needed, instant now);

/// True if the replica, according to its last report, may answer the read.
[[nodiscard]] bool can_serve_read(const group_state& state, const group_instance& replica, const waiting_request& item);

/// Returns the instance that runs the read, or null if the read has to wait.
[[nodiscard]] const loaded_instance* choose_reader(group_state& state, const std::vector<loaded_instance>& candidates,
                                                   const waiting_request& item, capacity needed, instant now);

/// True if an answer to a read is at or past the session's position and within the accepted age.
[[nodiscard]] bool satisfies_read(const waiting_request& item, const endpoint_answer& answer);

}  // namespace camphorstack
