#include "camphorstack/links/line_socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <utility>

#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/socket_address.hpp"

namespace camphorstack {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t read_chunk_bytes = 16384;
/// Limit of chunks read from one socket before other sockets are served.
constexpr int chunks_per_turn = 4;
/// Time limit in milliseconds for the remote side to close its half of a finished connection.
constexpr guint linger_ms = 1000;
/// TCP keepalive probes start after this many idle seconds, so that a lost remote side is detected on an idle connection too.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;

}  // namespace

line_socket::line_socket(fd_watcher& sockets, g_pointer<GSocket> opened, limits wanted, callbacks target)
    : watcher(sockets), socket(std::move(opened)), bounds(wanted), notify(std::move(target)) {
    this->start();
}

line_socket::line_socket(fd_watcher& sockets, const std::string& address, limits wanted, callbacks target)
    : watcher(sockets), bounds(wanted), notify(std::move(target)), current(phase::connecting) {
    const auto remote = parse_socket_address(address);
    GError* raw = nullptr;
    this->socket =
        g_adopt(g_socket_new(g_socket_address_get_family(remote.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw));
    const g_error_pointer failure(raw);
    if (!this->socket) {
        throw io_error(std::string("cannot create a TCP socket: ") + failure->message);
    }
    this->start();
    // A failed connect makes the socket writable, so the main loop reports the failure.
    g_socket_connect(this->socket.get(), remote.get(), nullptr, nullptr);
    this->watcher.watch_writable(g_socket_get_fd(this->socket.get()), true);
}

line_socket::~line_socket() {
    this->close();
}

void line_socket::start() {
    auto* const raw = this->socket.get();
    g_socket_set_blocking(raw, FALSE);
    g_socket_set_option(raw, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    g_socket_set_option(raw, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<gint>(this->bounds.acknowledgement_timeout.count),
                        nullptr);
    g_socket_set_option(raw, SOL_SOCKET, SO_KEEPALIVE, 1, nullptr);
    g_socket_set_option(raw, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s, nullptr);
    g_socket_set_option(raw, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s, nullptr);
    g_socket_set_option(raw, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes, nullptr);
    this->watcher.add(g_socket_get_fd(raw), [this](fd_readiness ready) { this->on_ready(ready); });
}

void line_socket::write(std::string_view text) {
    if (this->current != phase::open && this->current != phase::connecting) {
        return;
    }
    this->output.append(text);
    if (this->current == phase::open) {
        this->flush();
    }
}

void line_socket::flush() {
    while (this->written < this->output.size()) {
        GError* raw = nullptr;
        const gssize sent = g_socket_send(this->socket.get(), this->output.data() + this->written,
                                          this->output.size() - this->written, nullptr, &raw);
        const g_error_pointer failure(raw);
        if (sent < 0) {
            // A broken connection becomes readable, so the main loop reports it. It must not be reported here, from inside a
            // call.
            const bool full = g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
            this->watcher.watch_writable(g_socket_get_fd(this->socket.get()), full);
            return;
        }
        this->written += static_cast<std::size_t>(sent);
    }
    this->output.clear();
    this->written = 0;
    this->watcher.watch_writable(g_socket_get_fd(this->socket.get()), false);
    if (this->current == phase::finishing && !this->is_half_closed) {
        this->is_half_closed = true;
        g_socket_shutdown(this->socket.get(), FALSE, TRUE, nullptr);
    }
}

void line_socket::close() {
    if (this->current == phase::closed) {
        return;
    }
    this->current = phase::closed;
    this->linger_timer.reset();
    this->watcher.remove(g_socket_get_fd(this->socket.get()));
    g_socket_close(this->socket.get(), nullptr);
}

void line_socket::finish() {
    if (this->current != phase::open) {
        this->close();
        return;
    }
    this->current = phase::finishing;
    const auto on_linger = +[](gpointer self) -> gboolean {
        auto* const finished = static_cast<line_socket*>(self);
        finished->linger_timer.release();
        finished->close();
        return G_SOURCE_REMOVE;
    };
    this->linger_timer = g_source_handle(g_timeout_add(linger_ms, on_linger, this));
    this->flush();
}

void line_socket::on_ready(fd_readiness ready) {
    if (this->current == phase::connecting) {
        if (ready.writable || ready.readable) {
            this->finish_connecting();
        }
        return;
    }
    if (ready.writable && this->is_open()) {
        this->flush();
    }
    if (ready.readable && this->is_open()) {
        this->read_available();
    }
    if (this->output.size() - this->written > this->bounds.max_output_bytes) {
        this->fail(line_socket_close_reason::oversized);
    }
}

void line_socket::finish_connecting() {
    GError* raw = nullptr;
    const gboolean connected = g_socket_check_connect_result(this->socket.get(), &raw);
    const g_error_pointer failure(raw);
    if (connected == FALSE) {
        const bool refused = g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
        this->fail(refused ? line_socket_close_reason::refused : line_socket_close_reason::failed);
        return;
    }
    this->current = phase::open;
    this->watcher.watch_writable(g_socket_get_fd(this->socket.get()), false);
    this->flush();
    if (this->notify.connected) {
        this->notify.connected();
    }
}

void line_socket::read_available() {
    std::array<char, read_chunk_bytes> chunk;  // NOLINT(cppcoreguidelines-pro-type-member-init): filled by g_socket_receive.
    for (int turn = 0; turn < chunks_per_turn && this->is_open(); ++turn) {
        GError* raw = nullptr;
        const gssize count = g_socket_receive(this->socket.get(), chunk.data(), chunk.size(), nullptr, &raw);
        const g_error_pointer failure(raw);
        if (count < 0 && g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
            return;
        }
        if (count <= 0) {
            this->fail(count == 0 ? line_socket_close_reason::closed : line_socket_close_reason::failed);
            return;
        }
        if (this->current == phase::finishing) {
            continue;
        }
        this->input.append(chunk.data(), static_cast<std::size_t>(count));
        this->deliver_lines();
        if (static_cast<std::size_t>(count) < chunk.size()) {
            return;
        }
    }
}

void line_socket::deliver_lines() {
    std::size_t consumed = 0;
    while (this->current == phase::open) {
        const auto end = this->input.find(line_end, std::max(consumed, this->scanned));
        if (end == std::string::npos) {
            break;
        }
        const auto line = std::string_view(this->input).substr(consumed, end - consumed);
        consumed = end + line_end.size();
        this->scanned = consumed;
        if (line.size() > this->bounds.max_line_bytes) {
            this->fail(line_socket_close_reason::oversized);
            return;
        }
        this->notify.line(line);
    }
    this->input.erase(0, consumed);
    // The CR of a line end may arrive before its LF.
    const bool ends_with_cr = this->input.ends_with(line_end.front());
    this->scanned = this->input.size() - (ends_with_cr ? 1 : 0);
    if (this->current == phase::open && this->scanned > this->bounds.max_line_bytes) {
        this->fail(line_socket_close_reason::oversized);
    }
}

void line_socket::fail(line_socket_close_reason cause) {
    if (this->current == phase::finishing) {
        this->close();
        return;
    }
    if (this->current == phase::closed) {
        return;
    }
    if (cause == line_socket_close_reason::oversized) {
        // The connection stays open, so that the owner can still send the reason to the remote side.
        if (this->notify.ended) {
            const auto ended = this->notify.ended;
            ended(cause);
        }
        return;
    }
    this->close();
    if (this->notify.ended) {
        const auto ended = this->notify.ended;
        ended(cause);
    }
}

}  // namespace camphorstack
