#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Keeps a control connection to each instance as the host's duty needs and sends status polls, one outstanding per instance.
void poll_instances(group_step& step);

/// True if this host has a reason to watch the group at the moment.
[[nodiscard]] bool is_monitoring(const group_step& step);

}  // namespace camphorstack
