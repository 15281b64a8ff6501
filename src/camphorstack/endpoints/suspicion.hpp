#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Time without any answer from the instance.
[[nodiscard]] millis silence_duration(const group_instance& instance, instant now);

/// A connection to the instance failed or was closed by the other side; decides when the next one is opened.
void record_closed_connection(group_step& step, const group_connection& connection);

/// Marks instances as down that are silent or refuse connections, and moves their reads elsewhere.
void suspect_instances(group_step& step);

/// Closes connections whose call or connection attempt has timed out and answers requests whose deadline has passed.
void expire_calls(group_step& step);

/// After a pause of this host, answers may still be waiting to be read: does not count the pause as silence.
void exclude_pause_from_timeouts(group_step& step);

}  // namespace camphorstack
