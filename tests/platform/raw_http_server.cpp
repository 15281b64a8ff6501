#include "platform/raw_http_server.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>

#include "camphorstack/support/socket_address.hpp"

namespace camphorstack::platform_tests {

namespace {

constexpr std::string_view head_end = "\r\n\r\n";

std::size_t body_length(const std::string& head) {
    const std::string field = "Content-Length: ";
    const auto found = head.find(field);
    return found == std::string::npos ? 0 : std::stoul(head.substr(found + field.size()));
}

bool take_request(std::string& input, raw_http_request& request) {
    const auto end = input.find(head_end);
    if (end == std::string::npos) {
        return false;
    }
    request.head = input.substr(0, end);
    const auto body_start = end + head_end.size();
    const auto length = body_length(request.head);
    if (input.size() - body_start < length) {
        return false;
    }
    request.body = input.substr(body_start, length);
    input.erase(0, body_start + length);
    return true;
}

}  // namespace

std::string raw_response(unsigned status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

raw_http_server::raw_http_server(fd_watcher& sockets) : watcher(sockets) {
    const auto local = parse_socket_address("127.0.0.1:0");
    this->listener = g_adopt(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_set_blocking(this->listener.get(), FALSE);
    REQUIRE(g_socket_bind(this->listener.get(), local.get(), TRUE, nullptr));
    REQUIRE(g_socket_listen(this->listener.get(), nullptr));
    this->watcher.add(g_socket_get_fd(this->listener.get()), [this](fd_readiness /*ready*/) { this->accept_pending(); });
}

raw_http_server::~raw_http_server() {
    this->watcher.remove(g_socket_get_fd(this->listener.get()));
    while (!this->connections.empty()) {
        this->close(this->connections.begin()->first);
    }
}

std::string raw_http_server::address() const {
    const auto local = g_adopt(g_socket_get_local_address(this->listener.get(), nullptr));
    return format_socket_address(local.get());
}

void raw_http_server::send(std::size_t connection, std::string_view bytes) {
    const auto found = this->connections.find(connection);
    while (found != this->connections.end() && !bytes.empty()) {
        const auto count = ::send(found->second.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

void raw_http_server::close(std::size_t connection) {
    const auto found = this->connections.find(connection);
    if (found != this->connections.end()) {
        this->watcher.remove(found->second.socket);
        ::close(found->second.socket);
        this->connections.erase(found);
    }
}

void raw_http_server::accept_pending() {
    while (auto opened = g_adopt(g_socket_accept(this->listener.get(), nullptr, nullptr))) {
        const auto number = ++this->accepted;
        // The connection owns the descriptor from here on.
        this->connections[number].socket = dup(g_socket_get_fd(opened.get()));
        this->watcher.add(this->connections[number].socket,
                          [this, number](fd_readiness /*ready*/) { this->read_available(number); });
    }
}

void raw_http_server::read_available(std::size_t connection) {
    std::array<char, 65536> chunk{};
    const auto count = recv(this->connections.at(connection).socket, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
        this->close(connection);
        return;
    }
    if (count > 0) {
        this->connections.at(connection).input.append(chunk.data(), static_cast<std::size_t>(count));
    }
    raw_http_request request;
    request.connection = connection;
    while (this->connections.contains(connection) && take_request(this->connections.at(connection).input, request)) {
        this->on_request(request);
    }
}

}  // namespace camphorstack::platform_tests
