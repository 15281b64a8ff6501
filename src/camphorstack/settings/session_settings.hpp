#pragma once

#include <string>

#include "camphorstack/links/caller_limits.hpp"
#include "camphorstack/session_host/session_host_settings.hpp"
#include "camphorstack/settings/environment_settings.hpp"

namespace camphorstack {

/// Settings that `camphorstack serve-sessions` reads from its YAML file.
struct session_settings {
    session_host_settings host;  ///< `host.self` holds the id, the data centre, and the addresses for peers and for callers.
    caller_limits callers;
    std::string readiness_address;  ///< Listen address for readiness checks of the load balancer.
    std::string metrics_address;    ///< Listen address for metrics.
    std::string store_address;      ///< Address of the platform's store.
    std::string promotion_address;  ///< Address at which the platform accepts promotion requests.
    std::string fleet_secret;       ///< Shared secret that authenticates this host to its peers; at least 16 characters.

    friend bool operator==(const session_settings&, const session_settings&) = default;
};

/// Returns true if the text is a YAML mapping with the key `callers_address`, which only settings of session hosts have.
[[nodiscard]] bool is_session_settings(const std::string& text);

/// Reads YAML settings. `file` is the file name for error messages. `overrides` take the place of what the text holds.
/// Throws settings_error with all errors, such as unknown keys, wrong units and missing addresses.
[[nodiscard]] session_settings parse_session_settings(const std::string& text, const std::string& file,
                                                      const settings_overrides& overrides = {});

}  // namespace camphorstack
