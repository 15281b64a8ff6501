#pragma once

#include <string>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Parses "ip:port" or "[ip]:port" with a numeric IP address. Throws format_error.
[[nodiscard]] g_pointer<GSocketAddress> parse_socket_address(const std::string& text);

/// Returns "ip:port" for an IPv4 address, "[ip]:port" for an IPv6 address, and "?" for any other kind.
[[nodiscard]] std::string format_socket_address(GSocketAddress* address);

}  // namespace camphorstack
