#include "soak/soak_proxy.hpp"

#include <array>
#include <stdexcept>
#include <utility>

#include <sys/socket.h>

#include "camphorstack/support/socket_address.hpp"

namespace camphorstack::soak {

namespace {

g_pointer<GSocket> make_socket() {
    auto made = g_adopt(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_set_blocking(made.get(), FALSE);
    return made;
}

/// Closing then resets the connection.
void reset_on_close(GSocket* socket) {
    const linger at_once{1, 0};
    setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

}  // namespace

soak_proxy::soak_proxy(fd_watcher& sockets, std::string to) : watcher(sockets), target(std::move(to)), listener(make_socket()) {
    const auto local = parse_socket_address("127.0.0.1:0");
    if (g_socket_bind(this->listener.get(), local.get(), TRUE, nullptr) == FALSE ||
        g_socket_listen(this->listener.get(), nullptr) == FALSE) {
        throw std::runtime_error("the proxy cannot listen");
    }
    this->watcher.add(g_socket_get_fd(this->listener.get()), [this](fd_readiness) { this->accept_pending(); });
}

soak_proxy::~soak_proxy() {
    this->reset_all();
    this->watcher.remove(g_socket_get_fd(this->listener.get()));
}

std::string soak_proxy::address() const {
    const auto local = g_adopt(g_socket_get_local_address(this->listener.get(), nullptr));
    return format_socket_address(local.get());
}

void soak_proxy::hold(bool requests, bool answers) {
    this->holds_requests = requests;
    this->holds_answers = answers;
    for (const auto& opened : this->connections) {
        this->flush(*opened, opened->requests);
        this->flush(*opened, opened->answers);
    }
    this->remove_closed();
}

void soak_proxy::reset_all() {
    for (const auto& opened : this->connections) {
        reset_on_close(opened->client.get());
        reset_on_close(opened->server.get());
        this->close(*opened);
    }
    this->remove_closed();
}

void soak_proxy::accept_pending() {
    this->remove_closed();
    while (auto client = g_adopt(g_socket_accept(this->listener.get(), nullptr, nullptr))) {
        g_socket_set_blocking(client.get(), FALSE);
        auto opened = std::make_unique<connection>();
        opened->client = std::move(client);
        opened->server = make_socket();
        opened->requests = {opened->client.get(), opened->server.get(), "", false, false, true};
        opened->answers = {opened->server.get(), opened->client.get(), "", false, false, false};
        const auto remote = parse_socket_address(this->target);
        // A failure shows when the socket is read.
        g_socket_connect(opened->server.get(), remote.get(), nullptr, nullptr);
        this->watch(*opened, opened->client.get());
        this->watch(*opened, opened->server.get());
        this->connections.push_back(std::move(opened));
    }
}

void soak_proxy::watch(connection& opened, GSocket* socket) {
    this->watcher.add(g_socket_get_fd(socket), [this, &opened, socket](fd_readiness ready) {
        auto& incoming = opened.requests.from == socket ? opened.requests : opened.answers;
        auto& outgoing = opened.requests.from == socket ? opened.answers : opened.requests;
        if (ready.writable && !opened.is_closed) {
            this->flush(opened, outgoing);
        }
        if (ready.readable && !opened.is_closed) {
            this->read_into(opened, incoming);
        }
    });
}

void soak_proxy::read_into(connection& opened, stream& data) {
    std::array<char, 65536> chunk{};
    gssize count = 0;
    GError* failure = nullptr;
    while ((count = g_socket_receive(data.from, chunk.data(), chunk.size(), nullptr, &failure)) > 0) {
        data.buffered.append(chunk.data(), static_cast<std::size_t>(count));
    }
    const bool would_block = failure != nullptr && g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    g_clear_error(&failure);
    if (count == 0 || (count < 0 && !would_block)) {
        data.has_ended = true;
        // A closed descriptor stays readable.
        this->watcher.remove(g_socket_get_fd(data.from));
    }
    this->flush(opened, data);
}

void soak_proxy::flush(connection& opened, stream& data) {
    if (opened.is_closed || (data.is_request ? this->holds_requests : this->holds_answers)) {
        return;
    }
    while (!data.buffered.empty()) {
        GError* failure = nullptr;
        const auto sent = g_socket_send(data.to, data.buffered.data(), data.buffered.size(), nullptr, &failure);
        const bool would_block = failure != nullptr && (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE ||
                                                        g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED) != FALSE);
        g_clear_error(&failure);
        if (sent < 0) {
            if (!would_block) {
                this->close(opened);
                return;
            }
            auto& other = data.is_request ? opened.answers : opened.requests;
            if (!other.has_ended) {
                this->watcher.watch_writable(g_socket_get_fd(data.to), true);
            }
            return;
        }
        data.buffered.erase(0, static_cast<std::size_t>(sent));
    }
    auto& other = data.is_request ? opened.answers : opened.requests;
    if (!other.has_ended) {
        this->watcher.watch_writable(g_socket_get_fd(data.to), false);
    }
    if (data.has_ended && !data.is_shut_down) {
        data.is_shut_down = true;
        g_socket_shutdown(data.to, FALSE, TRUE, nullptr);
        if (other.is_shut_down || other.has_ended) {
            this->close(opened);
        }
    }
}

void soak_proxy::close(connection& opened) {
    if (std::exchange(opened.is_closed, true)) {
        return;
    }
    for (auto* data : {&opened.requests, &opened.answers}) {
        if (!data->has_ended) {
            this->watcher.remove(g_socket_get_fd(data->from));
        }
    }
    g_socket_close(opened.client.get(), nullptr);
    g_socket_close(opened.server.get(), nullptr);
}

void soak_proxy::remove_closed() {
    std::erase_if(this->connections, [](const auto& opened) { return opened->is_closed; });
}

}  // namespace camphorstack::soak
