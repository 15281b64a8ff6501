#include "platform/message_connection.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <utility>

namespace camphorstack::platform_tests {

bool take_message(std::string& input, std::string& message) {
    for (std::size_t i = 1; i < input.size(); ++i) {
        if (input[i - 1] == '\r' && input[i] == '\n') {
            message = input.substr(0, i - 1);
            input.erase(0, i + 1);
            return true;
        }
    }
    return false;
}

int connect_on_loopback(const std::string& address) {
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(connect(opened, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
    return opened;
}

message_connection::message_connection(fd_watcher& sockets, int connected, std::function<void(std::string_view)> on_message)
    : watcher(sockets), socket(connected), deliver(std::move(on_message)) {
    fcntl(this->socket, F_SETFL, fcntl(this->socket, F_GETFL) | O_NONBLOCK);
    this->watcher.add(this->socket, [this](fd_readiness ready) { this->on_ready(ready); });
}

message_connection::~message_connection() {
    if (!this->is_closed) {
        this->watcher.remove(this->socket);
    }
    close(this->socket);
}

void message_connection::write(std::string_view bytes) {
    this->output.append(bytes);
    this->flush();
}

void message_connection::finish() {
    this->is_finishing = true;
    this->flush();
}

void message_connection::on_ready(fd_readiness ready) {
    if (ready.writable) {
        this->flush();
    }
    if (ready.readable && !this->is_closed) {
        this->read_available();
    }
}

void message_connection::read_available() {
    std::array<char, 65536> chunk{};
    const auto count = recv(this->socket, chunk.data(), chunk.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
        this->is_closed = true;
        this->watcher.remove(this->socket);
        return;
    }
    if (count < 0) {
        return;
    }
    this->input.append(chunk.data(), static_cast<std::size_t>(count));
    std::string message;
    while (take_message(this->input, message)) {
        this->deliver(message);
    }
}

void message_connection::flush() {
    while (!this->is_closed && !this->output.empty()) {
        const auto count = send(this->socket, this->output.data(), this->output.size(), MSG_NOSIGNAL);
        if (count < 0) {
            break;
        }
        this->output.erase(0, static_cast<std::size_t>(count));
    }
    if (this->is_closed) {
        return;
    }
    this->watcher.watch_writable(this->socket, !this->output.empty() && (errno == EAGAIN || errno == EWOULDBLOCK));
    if (this->output.empty() && this->is_finishing) {
        shutdown(this->socket, SHUT_WR);
    }
}

}  // namespace camphorstack::platform_tests
