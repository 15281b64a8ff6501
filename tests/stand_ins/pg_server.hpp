#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "camphorstack/support/g_pointer.hpp"
#include "stand_ins/pg_protocol.hpp"

namespace camphorstack::stand_ins {

/// Id of a client's connection; never reused.
using pg_session = std::uint64_t;

struct pg_server_events {
    /// Called when a client requests a login. The handler answers by `accept_login` or `reject_login`, at once or later.
    std::function<void(pg_session, const std::string& user)> login_requested;
    /// Called when a simple query arrives. The handler ends the query by `answer` or `send_error`, at once or later.
    std::function<void(pg_session, const std::string& query)> query_received;
    std::function<void(pg_session)> client_closed;  ///< Called when a client's connection was closed by the client or has failed.
};

/// Server side of the PostgreSQL protocol on GLib sockets. Calls for a closed session have no effect.
class pg_server {
public:
    /// Listens on "ip:port"; port 0 selects a free port. Throws io_error if the address cannot be bound.
    pg_server(const std::string& address, pg_server_events events);
    pg_server(const pg_server&) = delete;
    pg_server& operator=(const pg_server&) = delete;
    pg_server(pg_server&&) = delete;
    pg_server& operator=(pg_server&&) = delete;
    ~pg_server();

    /// Returns "ip:port" with the port that was bound.
    [[nodiscard]] std::string address() const;

    void accept_login(pg_session session);
    void reject_login(pg_session session, const std::string& sqlstate, const std::string& text);
    void answer(pg_session session, const pg_table& table);
    void send_error(pg_session session, const std::string& sqlstate, const std::string& text);
    /// Sends bytes unchanged. Tests use this function to send malformed or incomplete replies.
    void send_bytes(pg_session session, const std::string& bytes);
    /// Closes the connection after all output has been written; `client_closed` is not called.
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
