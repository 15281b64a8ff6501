#pragma once

#include <list>
#include <memory>
#include <string>

#include "camphorstack/support/fd_watcher.hpp"

namespace camphorstack::soak {

/// Forwards TCP connections on loopback to one address, and can hold their bytes back or reset them. Held bytes arrive once they
/// are released, also when their sender has closed the connection meanwhile, as on a network that is cut for a while.
class soak_proxy {
public:
    soak_proxy(fd_watcher& sockets, std::string to);
    soak_proxy(const soak_proxy&) = delete;
    soak_proxy& operator=(const soak_proxy&) = delete;
    soak_proxy(soak_proxy&&) = delete;
    soak_proxy& operator=(soak_proxy&&) = delete;
    ~soak_proxy();

    [[nodiscard]] std::string address() const;
    /// Holds requests, answers, or both.
    void hold(bool requests, bool answers);
    void release() { this->hold(false, false); }
    /// Resets all connections, with what is on the way.
    void reset_all();

private:
    /// One direction of a connection.
    struct stream {
        GSocket* from = nullptr;
        GSocket* to = nullptr;
        std::string buffered;
        bool has_ended = false;     ///< `from` has closed its half.
        bool is_shut_down = false;  ///< So was told to `to`.
        bool is_request = false;
    };
    struct connection {
        g_pointer<GSocket> client;
        g_pointer<GSocket> server;
        stream requests;
        stream answers;
        bool is_closed = false;
    };

    void accept_pending();
    void watch(connection& opened, GSocket* socket);
    void read_into(connection& opened, stream& data);
    void flush(connection& opened, stream& data);
    void close(connection& opened);
    void remove_closed();

    fd_watcher& watcher;
    std::string target;
    g_pointer<GSocket> listener;
    std::list<std::unique_ptr<connection>> connections;
    bool holds_requests = false;
    bool holds_answers = false;
};

}  // namespace camphorstack::soak
