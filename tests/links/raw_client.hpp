#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "links/run_main_loop.hpp"

/// TCP client that sends given bytes unchanged, while the main loop runs the server under test.
class raw_client {
public:
    explicit raw_client(const std::string& address) : socket(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(this->socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
            throw std::runtime_error("cannot connect to " + address);
        }
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    raw_client(raw_client&&) = delete;
    raw_client& operator=(raw_client&&) = delete;
    ~raw_client() { close(this->socket); }

    /// Sends all bytes, or as many as the remote side takes before it closes the connection.
    void send(const std::string& bytes) {
        std::size_t sent = 0;
        (void)camphorstack::tests::run_until([&] {
            const auto count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (count < 0) {
                return errno != EAGAIN;
            }
            sent += static_cast<std::size_t>(count);
            return sent == bytes.size();
        });
    }

    /// Appends the bytes that have arrived to `received`.
    void poll() {
        std::array<char, 65536> chunk{};
        ssize_t count = 0;
        while ((count = recv(this->socket, chunk.data(), chunk.size(), MSG_DONTWAIT)) > 0) {
            this->received.append(chunk.data(), static_cast<std::size_t>(count));
        }
        this->closed = this->closed || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    [[nodiscard]] bool wait_for(const std::string& text, int limit_ms = 5000) {
        return camphorstack::tests::run_until(
            [&] {
                this->poll();
                return this->received.find(text) != std::string::npos;
            },
            camphorstack::millis{limit_ms});
    }

    [[nodiscard]] bool wait_closed(int limit_ms = 5000) {
        return camphorstack::tests::run_until(
            [&] {
                this->poll();
                return this->closed;
            },
            camphorstack::millis{limit_ms});
    }

    [[nodiscard]] int descriptor() const { return this->socket; }

    std::string received;
    bool closed = false;

private:
    int socket;
};
