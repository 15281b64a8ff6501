#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "camphorstack/links/line_socket.hpp"
#include "camphorstack/support/deferred_calls.hpp"
#include "session_fleet/database_model.hpp"

namespace camphorstack::platform_tests {

/// A stand-in of an instance that speaks the platform's lines over TCP on loopback.
class wire_instance {
public:
    /// `model` must outlive the stand-in.
    wire_instance(fd_watcher& sockets, session_tests::database_model& model, endpoint_id id);
    wire_instance(const wire_instance&) = delete;
    wire_instance& operator=(const wire_instance&) = delete;
    wire_instance(wire_instance&&) = delete;
    wire_instance& operator=(wire_instance&&) = delete;
    ~wire_instance();

    [[nodiscard]] std::string address() const;

    std::vector<std::string> lines;  ///< Received.
    bool drops_replies = false;      ///< Statements run and nothing is answered.

private:
    struct connection {
        std::unique_ptr<line_socket> socket;
        bool started = false;
    };

    void accept_pending();
    void on_line(connection_id id, std::string_view line);

    fd_watcher& watcher;
    session_tests::database_model& model;
    endpoint_id own_id;
    g_pointer<GSocket> listener;
    connection_id next_id = 1;
    std::map<connection_id, connection> connections;
};

}  // namespace camphorstack::platform_tests
