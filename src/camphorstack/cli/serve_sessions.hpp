#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "camphorstack/session_host/session_links.hpp"
#include "camphorstack/settings/session_settings.hpp"

namespace camphorstack {

/// Opens the links of a session host for the platform that the host runs on. Throws io_error.
using session_links_provider =
    std::function<std::unique_ptr<session_links>(const session_settings&, const session_event_sink&, monitoring_callbacks)>;

/// Runs one session host until SIGTERM or SIGINT: handles signals, reloads changed settings and runs the main loop. Returns the
/// exit code.
int run_serve_sessions(const std::vector<std::string>& arguments, const session_links_provider& make_links);

}  // namespace camphorstack
