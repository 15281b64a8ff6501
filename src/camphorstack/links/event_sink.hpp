#pragma once

#include <functional>

#include "camphorstack/hosts/host_events.hpp"

namespace camphorstack {

/// Delivers an event to the host's task. Links call it on the main loop's thread, never from inside a call of the host into a
/// link.
using event_sink = std::function<void(host_event)>;

}  // namespace camphorstack
