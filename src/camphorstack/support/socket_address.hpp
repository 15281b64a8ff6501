#pragma once

#include <string>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Reads "ip:port" or "[ip]:port" with a numeric IP address. Throws format_error.
[[nodiscard]] g_pointer<GSocketAddress> parse_socket_address(const std::string& text);

/// "ip:port" of an internet address, or "?" for another kind.
[[nodiscard]] std::string format_socket_address(GSocketAddress* address);

}  // namespace camphorstack
