#include "camphorstack/support/socket_address.hpp"

#include <charconv>
#include <cstdint>

#include "camphorstack/support/errors.hpp"

namespace camphorstack {

g_pointer<GSocketAddress> parse_socket_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw format_error("address \"" + text + "\" is not of the form ip:port");
    }
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc() || read.ptr != end) {
        throw format_error("address \"" + text + "\" has no valid port");
    }
    auto address = g_adopt(g_inet_socket_address_new_from_string(ip.c_str(), port));
    if (!address) {
        throw format_error("address \"" + text + "\" has no numeric IP address");
    }
    return address;
}

std::string format_socket_address(GSocketAddress* address) {
    if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address)) {
        return "?";
    }
    auto* inet = G_INET_SOCKET_ADDRESS(address);
    GInetAddress* ip = g_inet_socket_address_get_address(inet);
    const g_text text(g_inet_address_to_string(ip));
    const std::string port = std::to_string(g_inet_socket_address_get_port(inet));
    if (g_inet_address_get_family(ip) == G_SOCKET_FAMILY_IPV6) {
        return "[" + std::string(text.get()) + "]:" + port;
    }
    return std::string(text.get()) + ":" + port;
}

}  // namespace camphorstack
