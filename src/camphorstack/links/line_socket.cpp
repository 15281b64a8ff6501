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
/// Time limit in milliseconds for the remote side to take the output of a finished connection.
constexpr guint last_output_limit_ms = 10000;
/// Time limit in milliseconds for the remote side to close its half of a finished connection, once all output has been sent.
constexpr guint linger_ms = 1000;
/// TCP keepalive probes start after this many idle seconds, so that a lost remote side is detected on an idle connection too.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;

/// Gives back the memory that a buffer does not need for its content. Assigning a short string would keep the memory.
void shrink(std::string& buffer) {
    std::string(buffer).swap(buffer);
}

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

void line_socket::charge_to(memory_account& account) {
    this->charged = &account;
    this->update_charges();
}

void line_socket::update_charges() {
    if (this->charged == nullptr) {
        return;
    }
    const auto input_charge =
        this->input.size() < small_input_bytes ? this->input.size() : std::max(this->input.size(), this->reserved_input);
    change_charge(*this->charged, memory_part::input, this->charged_input, input_charge);
    change_charge(*this->charged, memory_part::output, this->charged_output, this->output.size());
    this->charged_input = input_charge;
    this->reserved_input = this->input.size() < small_input_bytes ? 0 : this->reserved_input;
    this->charged_output = this->output.size();
}

void line_socket::release_lines() {
    this->holds_lines = false;
    if (this->current != phase::open) {
        return;
    }
    this->deliver_lines();
    this->retry_reading();
}

std::vector<std::string> line_socket::take_held_lines() {
    std::vector<std::string> lines;
    if (this->is_delivering || !this->holds_lines) {
        return lines;
    }
    std::size_t consumed = 0;
    for (auto end = this->input.find(line_end); end != std::string::npos; end = this->input.find(line_end, consumed)) {
        lines.push_back(this->input.substr(consumed, end - consumed));
        consumed = end + line_end.size();
    }
    this->input.erase(0, consumed);
    this->update_charges();
    return lines;
}

void line_socket::retry_reading() {
    if (this->current == phase::open && this->is_reading_stopped && this->may_read()) {
        this->is_reading_stopped = false;
        this->watcher.watch_readable(g_socket_get_fd(this->socket.get()), true);
    }
}

/// Returns false if the socket must not read on now.
bool line_socket::may_read() {
    this->is_waiting_for_room = false;
    if (this->current != phase::open || this->input.size() < small_input_bytes) {
        return true;
    }
    if (this->holds_lines) {
        return false;
    }
    if (this->charged == nullptr || this->reserved_input != 0) {
        return true;
    }
    // Room for the whole line is taken at once: lines that each wait for the rest of their room would wait for one another.
    const bool is_alone = this->charged_input == used_memory(*this->charged, memory_part::input);
    if (!is_alone && !has_room(*this->charged, memory_part::input, this->bounds.max_line_bytes)) {
        this->is_waiting_for_room = true;
        return false;
    }
    this->reserved_input = this->bounds.max_line_bytes;
    this->update_charges();
    return true;
}

void line_socket::stop_reading() {
    this->is_reading_stopped = true;
    this->watcher.watch_readable(g_socket_get_fd(this->socket.get()), false);
}

/// Gives the memory of the buffers back, which are not used any more.
void line_socket::release_buffers() {
    if (!this->is_delivering) {
        this->input.clear();
        shrink(this->input);
        this->scanned = 0;
    }
    if (this->current == phase::closed) {
        this->output.clear();
        shrink(this->output);
        this->written = 0;
    }
    this->update_charges();
}

void line_socket::write(std::string_view text) {
    if (this->current != phase::open && this->current != phase::connecting) {
        return;
    }
    this->output.append(text);
    if (this->current == phase::open) {
        this->flush();
    }
    this->update_charges();
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
        this->sent_total += static_cast<std::uint64_t>(sent);
    }
    this->output.clear();
    if (this->output.capacity() > small_input_bytes) {
        shrink(this->output);
    }
    this->written = 0;
    this->update_charges();
    this->watcher.watch_writable(g_socket_get_fd(this->socket.get()), false);
    if (this->current == phase::finishing && !this->is_half_closed) {
        this->is_half_closed = true;
        g_socket_shutdown(this->socket.get(), FALSE, TRUE, nullptr);
        this->close_after(linger_ms);
    }
}

void line_socket::close_after(guint delay_ms) {
    const auto on_end = +[](gpointer self) -> gboolean {
        auto* const finished = static_cast<line_socket*>(self);
        finished->end_timer.release();
        finished->close();
        return G_SOURCE_REMOVE;
    };
    this->end_timer = g_source_handle(g_timeout_add(delay_ms, on_end, this));
}

void line_socket::close() {
    if (this->current == phase::closed) {
        return;
    }
    this->current = phase::closed;
    this->end_timer.reset();
    this->watcher.remove(g_socket_get_fd(this->socket.get()));
    g_socket_close(this->socket.get(), nullptr);
    this->release_buffers();
}

void line_socket::finish() {
    if (this->current != phase::open) {
        this->close();
        return;
    }
    this->current = phase::finishing;
    this->release_buffers();
    if (this->is_reading_stopped) {
        this->is_reading_stopped = false;
        this->watcher.watch_readable(g_socket_get_fd(this->socket.get()), true);
    }
    this->close_after(last_output_limit_ms);
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
        if (this->current == phase::open && this->output.empty() && this->notify.drained) {
            this->notify.drained();
        }
    }
    if (ready.readable && this->is_open()) {
        // While reading is stopped, only an error or the end of both directions is reported.
        if (this->is_reading_stopped) {
            this->fail(line_socket_close_reason::failed);
        } else {
            this->read_available();
        }
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
        if (!this->may_read()) {
            this->stop_reading();
            return;
        }
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
        if (this->input.size() + static_cast<std::size_t>(count) > this->input.capacity() &&
            this->input.size() >= small_input_bytes) {
            // Growing in steps would copy a large line several times. Pages that are not written take no memory.
            this->input.reserve(this->bounds.max_line_bytes + small_input_bytes);
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
    this->is_delivering = true;
    while (this->current == phase::open && !this->holds_lines) {
        const auto end = this->input.find(line_end, std::max(consumed, this->scanned));
        if (end == std::string::npos) {
            break;
        }
        const auto line = std::string_view(this->input).substr(consumed, end - consumed);
        if (line.size() <= this->bounds.max_line_bytes && this->notify.may_deliver && !this->notify.may_deliver(line.size())) {
            this->holds_lines = true;
            break;
        }
        consumed = end + line_end.size();
        this->scanned = consumed;
        if (line.size() > this->bounds.max_line_bytes) {
            this->is_delivering = false;
            this->fail(line_socket_close_reason::oversized);
            return;
        }
        this->notify.line(line);
    }
    this->is_delivering = false;
    if (this->current != phase::open) {
        this->release_buffers();
        return;
    }
    this->input.erase(0, consumed);
    if (this->input.capacity() > small_input_bytes * 2 && this->input.size() <= small_input_bytes) {
        shrink(this->input);
    }
    this->update_charges();
    if (this->holds_lines) {
        // The lines are searched again once they may be passed on.
        this->scanned = 0;
        return;
    }
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
