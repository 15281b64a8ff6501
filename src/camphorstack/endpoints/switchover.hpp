#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Moves the primary away from an endpoint that may not receive new work, without breaking a request.
void run_switchover(group_step& step);

/// True while a planned switchover holds new transactions (`begins`) or new writes.
[[nodiscard]] bool is_write_held(const group_state& state, bool begins);

}  // namespace camphorstack
