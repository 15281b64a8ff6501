#pragma once

#include <vector>

#include "camphorstack/endpoints/group_step.hpp"
#include "camphorstack/endpoints/pool.hpp"

namespace camphorstack {

/// An instance with its load at the moment of a decision.
struct loaded_instance {
    group_instance* instance = nullptr;
    instance_load load;
};

enum class capacity : std::uint8_t {
    now,   ///< The instance has a proved idle connection and may run one more statement.
    soon,  ///< It may run one more statement once a connection is ready.
};

[[nodiscard]] bool has_capacity(const loaded_instance& candidate, capacity needed, instant now);

/// True if the replica, as last seen, may answer the read.
[[nodiscard]] bool can_serve_read(const group_state& state, const group_instance& replica, const waiting_request& item);

/// The instance that should run a read now, or null if the read has to wait.
[[nodiscard]] const loaded_instance* choose_reader(group_state& state, const std::vector<loaded_instance>& candidates,
                                                   const waiting_request& item, capacity needed, instant now);

/// True if a reply is at or past the session's position and inside the accepted age.
[[nodiscard]] bool satisfies_read(const waiting_request& item, const endpoint_answer& answer);

}  // namespace camphorstack
