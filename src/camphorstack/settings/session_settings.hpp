#pragma once

#include <string>

#include "camphorstack/session_host/session_host_settings.hpp"

namespace camphorstack {

/// Everything that `camphorstack serve-sessions` reads from its YAML settings file.
struct session_settings {
    session_host_settings host;     ///< `host.self` holds the id, the data centre, the peer port and the callers' port.
    std::string readiness_address;  ///< Where the balancer asks whether the host is ready.
    std::string metrics_address;
    std::string store_address;      ///< The platform's store.
    std::string promotion_address;  ///< Where the platform takes promotions.
    std::string fleet_secret;       ///< Proves to peers that this host belongs to the fleet; at least 16 characters.

    friend bool operator==(const session_settings&, const session_settings&) = default;
};

/// True if the text has the form of a session host's settings: it names data centres of more than the own host.
[[nodiscard]] bool is_session_settings(const std::string& text);

/// Reads YAML settings. `file` only names the text in errors.
/// Throws settings_error that lists every unknown key, wrong unit and missing address.
[[nodiscard]] session_settings parse_session_settings(const std::string& text, const std::string& file);

}  // namespace camphorstack
