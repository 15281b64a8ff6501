#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "camphorstack/support/fd_watcher.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Why a connection ended.
enum class socket_close_reason : std::uint8_t {
    closed,     ///< By the other side.
    failed,     ///< By an error of the network.
    oversized,  ///< A frame above the limit arrived.
};

/// Frames over one TCP connection: a length of four bytes, most significant first, then the payload. Never blocks.
class frame_socket {
public:
    struct callbacks {
        std::function<void(std::span<const std::uint8_t>)> frame;
        std::function<void(socket_close_reason)> broken;  ///< Called at most once, and not after `close`.
    };

    /// Bytes that may wait for the other side to read them.
    static constexpr std::size_t output_limit = std::size_t{8} * 1024 * 1024;

    /// Starts reading. The object must not be destroyed from inside a callback; `close` is safe there.
    /// Throws io_error if the socket cannot be watched.
    frame_socket(fd_watcher& sockets, g_pointer<GSocketConnection> opened, std::size_t frame_limit_bytes, callbacks target);
    frame_socket(const frame_socket&) = delete;
    frame_socket& operator=(const frame_socket&) = delete;
    frame_socket(frame_socket&&) = delete;
    frame_socket& operator=(frame_socket&&) = delete;
    ~frame_socket();

    /// Largest payload in bytes that is accepted from now on; a longer one breaks the connection.
    void set_frame_limit(std::size_t bytes) { this->frame_limit = bytes; }

    /// Buffers a frame, to be written by `flush`. False if the output limit would be exceeded.
    [[nodiscard]] bool append(std::span<const std::uint8_t> payload);
    /// Writes what the kernel takes now; the rest follows from the main loop. Failures are reported by the main loop.
    void flush();
    /// No callback follows.
    void close();

    [[nodiscard]] bool is_open() const { return this->open; }

private:
    void on_ready(fd_readiness ready);
    void read_available();
    void deliver_frames();
    void discard_written();
    void fail(socket_close_reason cause);

    fd_watcher& watcher;
    g_pointer<GSocketConnection> connection;
    GSocket* socket = nullptr;  ///< Owned by the connection.
    std::size_t frame_limit;
    callbacks notify;
    std::vector<std::uint8_t> input;
    std::vector<std::uint8_t> output;
    std::size_t written = 0;  ///< Bytes of `output` that the kernel has taken.
    bool open = true;
};

}  // namespace camphorstack
