#pragma once

#include <string>

#include "camphorstack/hosts/host_settings.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

/// Settings that `camphorstack serve` reads from its YAML file.
struct daemon_settings {
    host_settings host;            ///< `host.self` holds the id, the data centre and both listen addresses.
    std::string platform_address;  ///< HTTP address of the platform, "ip:port".
    std::string fleet_secret;      ///< Shared secret that authenticates this host to its peers; at least 16 characters.

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

/// All errors of a settings file, one per line as "FILE:LINE: text".
class settings_error : public format_error {
public:
    using format_error::format_error;
};

/// Reads YAML settings. `file` is the file name for error messages.
/// Throws settings_error with all errors, such as unknown keys, wrong units, missing addresses and duplicate ids.
[[nodiscard]] daemon_settings parse_settings(const std::string& text, const std::string& file);

}  // namespace camphorstack
