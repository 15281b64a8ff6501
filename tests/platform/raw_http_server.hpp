#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "camphorstack/support/fd_watcher.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::platform_tests {

/// A request as it arrived, and the number of its connection, counted from 1.
struct raw_http_request {
    std::size_t connection = 0;
    std::string head;  ///< Request line and headers.
    std::string body;
};

/// Returns the bytes of a response with a JSON body.
[[nodiscard]] std::string raw_response(unsigned status, const std::string& body);

/// HTTP server on loopback that sends exactly the bytes that a test gives it.
class raw_http_server {
public:
    explicit raw_http_server(fd_watcher& sockets);
    raw_http_server(const raw_http_server&) = delete;
    raw_http_server& operator=(const raw_http_server&) = delete;
    raw_http_server(raw_http_server&&) = delete;
    raw_http_server& operator=(raw_http_server&&) = delete;
    ~raw_http_server();

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t connection_count() const { return this->accepted; }

    /// Sends bytes on a connection if it is still open.
    void send(std::size_t connection, std::string_view bytes);
    void close(std::size_t connection);

    std::function<void(const raw_http_request&)> on_request;  ///< Called once for each complete request.

private:
    struct open_connection {
        int socket = -1;
        std::string input;
    };

    void accept_pending();
    void read_available(std::size_t connection);

    fd_watcher& watcher;
    g_pointer<GSocket> listener;
    std::size_t accepted = 0;
    std::map<std::size_t, open_connection> connections;
};

}  // namespace camphorstack::platform_tests
