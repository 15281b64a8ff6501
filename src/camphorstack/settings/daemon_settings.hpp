#pragma once

#include <string>

#include "camphorstack/hosts/host_settings.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

/// Everything that `camphorstack serve` reads from its YAML settings file.
struct daemon_settings {
    host_settings host;            ///< `host.self` holds the id, the data centre and both addresses to listen on.
    std::string platform_address;  ///< HTTP address of the platform's service, "ip:port".
    std::string fleet_secret;      ///< Proves to peers that this host belongs to the fleet; at least 16 characters.

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

/// All errors of a settings file, one per line as "FILE:LINE: text".
class settings_error : public format_error {
public:
    using format_error::format_error;
};

/// Reads YAML settings. `file` only names the text in errors.
/// Throws settings_error that lists every unknown key, wrong unit, missing address and duplicate id.
[[nodiscard]] daemon_settings parse_settings(const std::string& text, const std::string& file);

}  // namespace camphorstack
