#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/fd_watcher.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Why a line socket ended.
enum class line_socket_close_reason : std::uint8_t {
    closed,     ///< By the other side.
    refused,    ///< Nothing listens at the address.
    failed,     ///< By an error of the network.
    oversized,  ///< A line above the limit arrived, or the other side does not read what it is sent.
};

/// Lines of text, each ended by CR LF or LF, over one TCP connection. Never blocks.
class line_socket {
public:
    struct callbacks {
        std::function<void()> connected;
        std::function<void(std::string_view)> line;           ///< Without its end. Valid during the call.
        std::function<void(line_socket_close_reason)> ended;  ///< Called at most once, and not after `close` or `finish`.
    };

    struct limits {
        std::size_t max_line_bytes = std::size_t{1024} * 1024;
        std::size_t max_output_bytes = std::size_t{4} * 1024 * 1024;  ///< That wait for the other side to read them.
        millis acknowledgement_timeout{1000};  ///< The kernel breaks a connection whose data is not acknowledged for this long.

        friend bool operator==(const limits&, const limits&) = default;
    };

    /// Takes over a connected socket. Throws io_error if it cannot be watched.
    line_socket(fd_watcher& sockets, g_pointer<GSocket> opened, limits wanted, callbacks target);
    /// Starts to connect to `address`, "ip:port". A failure is reported by `ended`, never from inside the constructor.
    /// Throws format_error for a malformed address, io_error if there is no socket.
    line_socket(fd_watcher& sockets, const std::string& address, limits wanted, callbacks target);
    line_socket(const line_socket&) = delete;
    line_socket& operator=(const line_socket&) = delete;
    line_socket(line_socket&&) = delete;
    line_socket& operator=(line_socket&&) = delete;
    ~line_socket();

    /// Sends `text`, which holds complete lines. What the kernel does not take now follows from the main loop.
    void write(std::string_view text);
    /// Closes at once. No callback follows. Safe inside of a callback, unlike destruction.
    void close();
    /// Sends what is buffered, then ends the connection once the other side has closed its half, so that unread input does not
    /// reset it before the last answer has arrived. No callback follows.
    void finish();

    [[nodiscard]] bool is_open() const { return this->current != phase::closed; }
    /// True while `finish` has not ended the connection yet.
    [[nodiscard]] bool is_finishing() const { return this->current == phase::finishing; }

private:
    enum class phase : std::uint8_t { connecting, open, finishing, closed };

    void start();
    void on_ready(fd_readiness ready);
    void finish_connecting();
    void read_available();
    void deliver_lines();
    void flush();
    void fail(line_socket_close_reason cause);

    fd_watcher& watcher;
    g_pointer<GSocket> socket;
    limits bounds;
    callbacks notify;
    phase current = phase::open;
    std::string input;
    std::size_t scanned = 0;  ///< Bytes of `input` that hold no end of a line.
    std::string output;
    std::size_t written = 0;  ///< Bytes of `output` that the kernel has taken.
    bool half_closed = false;
    g_source_handle linger_timer;
};

}  // namespace camphorstack
