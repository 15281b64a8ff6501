#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "camphorstack/support/g_pointer.hpp"
#include "stand_ins/pg_protocol.hpp"

namespace camphorstack::stand_ins {

/// Names a client's connection; never reused.
using pg_session = std::uint64_t;

struct pg_server_events {
    /// A client asks to log in; `accept_login` or `reject_login` answers.
    std::function<void(pg_session, const std::string& user)> login_requested;
    /// A simple query arrived; `answer` or `send_error` ends it.
    std::function<void(pg_session, const std::string& query)> query_received;
    std::function<void(pg_session)> client_closed;  ///< The client went away.
};

/// Server side of the PostgreSQL protocol on GLib sockets. Calls for a session that has gone do nothing.
class pg_server {
public:
    /// Listens on "ip:port"; port 0 takes a free one. Throws io_error.
    pg_server(const std::string& address, pg_server_events events);
    pg_server(const pg_server&) = delete;
    pg_server& operator=(const pg_server&) = delete;
    pg_server(pg_server&&) = delete;
    pg_server& operator=(pg_server&&) = delete;
    ~pg_server();

    /// "ip:port" with the real port.
    [[nodiscard]] std::string address() const;

    void accept_login(pg_session session);
    void reject_login(pg_session session, const std::string& sqlstate, const std::string& text);
    void answer(pg_session session, const pg_table& table);
    void send_error(pg_session session, const std::string& sqlstate, const std::string& text);
    /// Bytes as they are, for faults.
    void send_bytes(pg_session session, const std::string& bytes);
    /// Closes once everything sent so far is written; `client_closed` does not follow.
    void close(pg_session session);

private:
    struct client;

    static gboolean on_incoming(GSocketService* service, GSocketConnection* connection, GObject* source, gpointer self);
    static gboolean on_ready(GSocket* socket, GIOCondition condition, gpointer data);
    void add(GSocketConnection* connection);
    bool read(client& from);
    void handle_input(pg_session session);
    bool handle_startup(client& from);
    bool handle_message(client& from);
    bool flush(client& to);
    void drop(pg_session session);

    pg_server_events events;
    std::string host;
    std::uint16_t port = 0;
    pg_session last_session = 0;
    std::map<pg_session, std::shared_ptr<client>> clients;
    g_pointer<GSocketService> service;
};

}  // namespace camphorstack::stand_ins
