#pragma once

#include <string>
#include <vector>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Returns what the host waits for before it is ready for callers, one reason each; empty if it is ready.
[[nodiscard]] std::vector<std::string> unready_reasons(const session_host_state& state, instant now);

/// Returns which records of the fleet are missing that callers' statements need, one reason each.
[[nodiscard]] std::vector<std::string> missing_fleet_records(const session_host_state& state);

/// Logs what the host waits for: after a second, and then at intervals that double up to a minute.
void readiness_tick(session_host_state& state, instant now);

}  // namespace camphorstack
