#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "camphorstack/support/fd_watcher.hpp"

namespace camphorstack::platform_tests {

/// Takes the first message that is complete from the front of `input`, without its CR LF. Returns false if none is complete.
/// Shares no code with the product, so that both cannot make the same mistake.
[[nodiscard]] bool take_message(std::string& input, std::string& message);

/// Opens a TCP connection to an address on loopback, which may not be established yet. A failure shows when it is read.
[[nodiscard]] int connect_on_loopback(const std::string& address);

/// One TCP connection of a stand-in that exchanges the messages of the platform's protocol.
class message_connection {
public:
    /// Takes over a connected socket. `on_message` gets each message without its CR LF.
    message_connection(fd_watcher& sockets, int connected, std::function<void(std::string_view)> on_message);
    message_connection(const message_connection&) = delete;
    message_connection& operator=(const message_connection&) = delete;
    message_connection(message_connection&&) = delete;
    message_connection& operator=(message_connection&&) = delete;
    ~message_connection();

    /// Sends bytes unchanged.
    void write(std::string_view bytes);
    /// Sends what is buffered and then ends the sending half of the connection.
    void finish();
    /// Returns false once the other side has ended the connection or it has failed.
    [[nodiscard]] bool is_open() const { return !this->is_closed; }

private:
    void on_ready(fd_readiness ready);
    void read_available();
    void flush();

    fd_watcher& watcher;
    int socket;
    std::function<void(std::string_view)> deliver;
    std::string input;
    std::string output;
    bool is_finishing = false;
    bool is_closed = false;
};

}  // namespace camphorstack::platform_tests
