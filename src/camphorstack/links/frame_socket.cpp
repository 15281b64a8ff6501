#include "camphorstack/links/frame_socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <utility>

namespace camphorstack {

namespace {

constexpr std::size_t prefix_bytes = 4;
constexpr std::size_t read_chunk_bytes = 65536;
/// Written bytes are dropped from the front of the buffer in steps of this size, so that moving the rest stays cheap.
constexpr std::size_t compaction_bytes = std::size_t{1024} * 1024;
/// Chunks read from one socket before the others have their turn.
constexpr int chunks_per_turn = 8;
/// The kernel breaks a connection whose data has not been acknowledged for this long, in milliseconds. A connection that a
/// network device silently drops is found this way, while a new one would work.
constexpr int tcp_user_timeout_ms = 1000;

std::size_t read_prefix(std::span<const std::uint8_t> bytes) {
    constexpr unsigned bits_per_byte = 8;
    std::size_t length = 0;
    for (std::size_t i = 0; i < prefix_bytes; ++i) {
        length = (length << bits_per_byte) | bytes[i];
    }
    return length;
}

}  // namespace

frame_socket::frame_socket(fd_watcher& sockets, g_pointer<GSocketConnection> opened, std::size_t frame_limit_bytes,
                           callbacks target)
    : watcher(sockets),
      connection(std::move(opened)),
      socket(g_socket_connection_get_socket(this->connection.get())),
      frame_limit(frame_limit_bytes),
      notify(std::move(target)) {
    g_socket_set_blocking(this->socket, FALSE);
    g_socket_set_option(this->socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    g_socket_set_option(this->socket, IPPROTO_TCP, TCP_USER_TIMEOUT, tcp_user_timeout_ms, nullptr);
    this->watcher.add(g_socket_get_fd(this->socket), [this](fd_readiness ready) { this->on_ready(ready); });
}

frame_socket::~frame_socket() {
    this->close();
}

bool frame_socket::append(std::span<const std::uint8_t> payload) {
    constexpr unsigned bits_per_byte = 8;
    if (this->output.size() - this->written + payload.size() > output_limit) {
        return false;
    }
    for (std::size_t i = prefix_bytes; i > 0; --i) {
        this->output.push_back(static_cast<std::uint8_t>(payload.size() >> (bits_per_byte * (i - 1))));
    }
    this->output.insert(this->output.end(), payload.begin(), payload.end());
    return true;
}

void frame_socket::flush() {
    while (this->open && this->written < this->output.size()) {
        GError* raw = nullptr;
        const auto* bytes = reinterpret_cast<const char*>(this->output.data() + this->written);
        const gssize sent = g_socket_send(this->socket, bytes, this->output.size() - this->written, nullptr, &raw);
        const g_error_pointer failure(raw);
        if (sent < 0) {
            // A broken connection is readable, so the main loop reports it; here it must not be reported from inside a call.
            this->watcher.watch_writable(g_socket_get_fd(this->socket),
                                         g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE);
            return;
        }
        this->written += static_cast<std::size_t>(sent);
        this->discard_written();
    }
    if (this->open) {
        this->watcher.watch_writable(g_socket_get_fd(this->socket), false);
        this->output.clear();
        this->written = 0;
    }
}

void frame_socket::discard_written() {
    if (this->written >= compaction_bytes) {
        this->output.erase(this->output.begin(), this->output.begin() + static_cast<std::ptrdiff_t>(this->written));
        this->written = 0;
    }
}

void frame_socket::close() {
    if (!this->open) {
        return;
    }
    this->open = false;
    this->watcher.remove(g_socket_get_fd(this->socket));
    g_io_stream_close(G_IO_STREAM(this->connection.get()), nullptr, nullptr);
}

void frame_socket::on_ready(fd_readiness ready) {
    if (ready.writable) {
        this->flush();
    }
    if (ready.readable && this->open) {
        this->read_available();
    }
}

void frame_socket::read_available() {
    std::array<char, read_chunk_bytes> chunk{};
    for (int turn = 0; turn < chunks_per_turn && this->open; ++turn) {
        GError* raw = nullptr;
        const gssize count = g_socket_receive(this->socket, chunk.data(), chunk.size(), nullptr, &raw);
        const g_error_pointer failure(raw);
        if (count == 0) {
            this->fail(socket_close_reason::closed);
            return;
        }
        if (count < 0) {
            if (!g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
                this->fail(socket_close_reason::failed);
            }
            return;
        }
        this->input.insert(this->input.end(), chunk.data(), chunk.data() + count);
        this->deliver_frames();
        if (static_cast<std::size_t>(count) < chunk.size()) {
            return;
        }
    }
}

void frame_socket::deliver_frames() {
    std::size_t consumed = 0;
    while (this->open && this->input.size() - consumed >= prefix_bytes) {
        const auto rest = std::span<const std::uint8_t>(this->input).subspan(consumed);
        const std::size_t length = read_prefix(rest);
        if (length > this->frame_limit) {
            this->fail(socket_close_reason::oversized);
            return;
        }
        if (rest.size() < prefix_bytes + length) {
            break;
        }
        this->notify.frame(rest.subspan(prefix_bytes, length));
        consumed += prefix_bytes + length;
    }
    this->input.erase(this->input.begin(), this->input.begin() + static_cast<std::ptrdiff_t>(consumed));
}

void frame_socket::fail(socket_close_reason cause) {
    this->close();
    this->notify.broken(cause);
}

}  // namespace camphorstack
