#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Time without any answer from the instance.
[[nodiscard]] millis silence_duration(const group_instance& instance, instant now);

/// Records that a connection failed or was closed by the other side, and sets the earliest time of the next attempt.
void record_closed_connection(group_step& step, const group_connection& connection);

/// Marks instances as down that are silent or refuse connections, and queues their reads again for other instances.
void suspect_instances(group_step& step);

/// Closes connections whose call or connection attempt has timed out and answers requests whose deadline has passed.
void expire_calls(group_step& step);

/// Excludes a pause of this host's process from timeouts and silence, as answers may have arrived that are not read yet.
void exclude_pause_from_timeouts(group_step& step);

}  // namespace camphorstack
