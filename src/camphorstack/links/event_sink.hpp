#pragma once

#include <functional>

#include "camphorstack/hosts/host_events.hpp"

namespace camphorstack {

/// Delivers an event to the host's task. Called on the main loop's thread, never from inside a call into a link.
using event_sink = std::function<void(host_event)>;

}  // namespace camphorstack
