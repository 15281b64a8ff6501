#include "stand_ins/pg_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <utility>

#include "camphorstack/support/errors.hpp"

namespace camphorstack::stand_ins {

struct pg_server::client {
    pg_server* server = nullptr;
    pg_session id = 0;
    g_pointer<GSocketConnection> connection;
    GSource* source = nullptr;
    bool watches_output = false;
    bool login_requested = false;
    bool closing = false;
    std::string input;
    std::string output;

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;
    ~client() { this->unwatch(); }

    [[nodiscard]] GSocket* socket() const { return g_socket_connection_get_socket(this->connection.get()); }

    void unwatch() {
        if (GSource* const old = std::exchange(this->source, nullptr); old != nullptr) {
            g_source_destroy(old);
            g_source_unref(old);
        }
    }

    void watch() {
        this->unwatch();
        this->watches_output = !this->output.empty();
        const auto condition = !this->watches_output ? G_IO_IN : static_cast<GIOCondition>(G_IO_IN | G_IO_OUT);
        this->source = g_socket_create_source(this->socket(), condition, nullptr);
        g_source_set_callback(this->source, G_SOURCE_FUNC(&pg_server::on_ready), this, nullptr);
        g_source_attach(this->source, g_main_context_get_thread_default());
    }
};

pg_server::pg_server(const std::string& address, pg_server_events handlers)
    : events(std::move(handlers)), service(g_adopt(g_socket_service_new())) {
    const auto colon = address.rfind(':');
    this->host = address.substr(0, colon);
    const auto requested_port = static_cast<guint16>(std::stoi(address.substr(colon + 1)));
    const auto listen_on = g_adopt(g_inet_socket_address_new_from_string(this->host.c_str(), requested_port));
    GSocketAddress* raw_bound = nullptr;
    GError* raw_failure = nullptr;
    g_socket_listener_add_address(G_SOCKET_LISTENER(this->service.get()), listen_on.get(), G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, nullptr, &raw_bound, &raw_failure);
    if (raw_failure != nullptr) {
        const g_error_pointer failure(raw_failure);
        throw io_error("cannot listen on " + address + ": " + failure->message);
    }
    const auto bound = g_adopt(raw_bound);
    this->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    g_signal_connect(this->service.get(), "incoming", G_CALLBACK(&pg_server::on_incoming), this);
}

pg_server::~pg_server() {
    g_signal_handlers_disconnect_by_data(this->service.get(), this);
    g_socket_service_stop(this->service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(this->service.get()));
}

std::string pg_server::address() const {
    return this->host + ":" + std::to_string(this->port);
}

gboolean pg_server::on_incoming(GSocketService* /*service*/, GSocketConnection* connection, GObject* /*source*/, gpointer self) {
    static_cast<pg_server*>(self)->add(connection);
    return TRUE;
}

void pg_server::add(GSocketConnection* connection) {
    auto added = std::make_shared<client>();
    added->server = this;
    added->id = ++this->last_session;
    added->connection = g_share(connection);
    g_socket_set_blocking(added->socket(), FALSE);
    g_socket_set_option(added->socket(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    added->watch();
    this->clients[added->id] = std::move(added);
}

gboolean pg_server::on_ready(GSocket* /*socket*/, GIOCondition condition, gpointer data) {
    const auto target = static_cast<client*>(data)->server->clients[static_cast<client*>(data)->id];
    auto* const server = target->server;
    const bool written = (condition & G_IO_OUT) == 0 || server->flush(*target);
    if (!written || ((condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0 && !server->read(*target))) {
        server->drop(target->id);
        return G_SOURCE_CONTINUE;
    }
    server->handle_input(target->id);
    return G_SOURCE_CONTINUE;
}

bool pg_server::read(client& from) {
    std::array<char, 16384> buffer{};
    GError* raw_failure = nullptr;
    const gssize count = g_socket_receive(from.socket(), buffer.data(), buffer.size(), nullptr, &raw_failure);
    const g_error_pointer failure(raw_failure);
    if (count > 0) {
        from.input.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }
    return failure && g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

void pg_server::handle_input(pg_session session) {
    try {
        for (auto found = this->clients.find(session); found != this->clients.end(); found = this->clients.find(session)) {
            const auto from = found->second;
            if (from->closing || !(from->login_requested ? this->handle_message(*from) : this->handle_startup(*from))) {
                return;
            }
        }
    } catch (const format_error&) {
        this->drop(session);
    }
}

bool pg_server::handle_startup(client& from) {
    const auto startup = take_startup(from.input);
    if (!startup) {
        return false;
    }
    if (startup->code == pg_ssl_request || startup->code == pg_gss_request) {
        this->send_bytes(from.id, "N");
        return true;
    }
    if (startup->code != pg_version_3) {
        this->drop(from.id);
        return false;
    }
    from.login_requested = true;
    const auto user = startup->parameters.find("user");
    this->events.login_requested(from.id, user == startup->parameters.end() ? std::string() : user->second);
    return true;
}

bool pg_server::handle_message(client& from) {
    const auto message = take_message(from.input);
    if (!message) {
        return false;
    }
    if (message->type == 'Q') {
        this->events.query_received(from.id, message->body.substr(0, message->body.find('\0')));
    } else if (message->type == 'X') {
        this->drop(from.id);
    } else {
        this->send_error(from.id, "0A000", "only simple queries are served");
    }
    return true;
}

bool pg_server::flush(client& to) {
    while (!to.output.empty()) {
        GError* raw_failure = nullptr;
        const gssize count = g_socket_send(to.socket(), to.output.data(), to.output.size(), nullptr, &raw_failure);
        const g_error_pointer failure(raw_failure);
        if (count < 0) {
            return g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        }
        to.output.erase(0, static_cast<std::size_t>(count));
    }
    if (to.watches_output) {
        to.watch();
    }
    return !to.closing;
}

void pg_server::send_bytes(pg_session session, const std::string& bytes) {
    const auto found = this->clients.find(session);
    if (found != this->clients.end()) {
        const bool idle = found->second->output.empty();
        found->second->output += bytes;
        if (idle) {
            // Bytes that the socket does not accept at once are written when it becomes writable.
            this->flush(*found->second);
            if (!found->second->output.empty()) {
                found->second->watch();
            }
        }
    }
}

void pg_server::accept_login(pg_session session) {
    this->send_bytes(session, encode_login_accepted());
}

void pg_server::reject_login(pg_session session, const std::string& sqlstate, const std::string& text) {
    this->send_bytes(session, encode_error(sqlstate, text, true));
    this->close(session);
}

void pg_server::answer(pg_session session, const pg_table& table) {
    this->send_bytes(session, encode_table(table) + encode_ready());
}

void pg_server::send_error(pg_session session, const std::string& sqlstate, const std::string& text) {
    this->send_bytes(session, encode_error(sqlstate, text, false) + encode_ready());
}

void pg_server::close(pg_session session) {
    const auto found = this->clients.find(session);
    if (found == this->clients.end()) {
        return;
    }
    found->second->closing = true;
    if (found->second->output.empty()) {
        this->clients.erase(found);
    }
}

void pg_server::drop(pg_session session) {
    const auto found = this->clients.find(session);
    if (found == this->clients.end()) {
        return;
    }
    const auto dropped = std::move(found->second);
    this->clients.erase(found);
    dropped->unwatch();
    if (!dropped->closing) {
        this->events.client_closed(session);
    }
}

}  // namespace camphorstack::stand_ins
