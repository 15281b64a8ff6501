#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Keeps a control connection to each instance while this host monitors the group, and sends status polls, at most one
/// outstanding per instance.
void poll_instances(group_step& step);

/// True if this host monitors the group: it has a duty, or had a request in flight within `on_demand_poll_time`.
[[nodiscard]] bool is_monitoring(const group_step& step);

}  // namespace camphorstack
