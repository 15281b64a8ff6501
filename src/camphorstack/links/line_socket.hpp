#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorstack/links/memory_account.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/fd_watcher.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Reason why a line socket ended.
enum class line_socket_close_reason : std::uint8_t {
    closed,     ///< The remote side closed the connection.
    refused,    ///< Nothing listens at the address.
    failed,     ///< A network error occurred.
    oversized,  ///< A line or the output buffer exceeds its limit. The owner must close the socket, which is still open.
};

/// Lines, each ended by CR LF, over one TCP connection. A line may hold any other bytes, also a CR or an LF alone. Never blocks.
class line_socket {
public:
    struct callbacks {
        std::function<void()> connected;
        std::function<void(std::string_view)> line;           ///< Without its line end. The view is valid during the call only.
        std::function<void(line_socket_close_reason)> ended;  ///< Called at most once, and not after `close` or `finish`.
        /// If set, asked before a line is passed on; after false the socket holds its lines until `release_lines`.
        std::function<bool(std::size_t)> may_deliver = nullptr;
        std::function<void()> drained = nullptr;  ///< All output has been sent, after some had to wait.
    };

    struct limits {
        std::size_t max_line_bytes = std::size_t{1024} * 1024;
        std::size_t max_output_bytes = std::size_t{4} * 1024 * 1024;  ///< Limit of the output buffer.
        millis acknowledgement_timeout{1000};  ///< The kernel closes a connection whose data is not acknowledged for this long.

        friend bool operator==(const limits&, const limits&) = default;
    };

    /// Takes over a connected socket. Throws io_error if it cannot be watched.
    line_socket(fd_watcher& sockets, g_pointer<GSocket> opened, limits wanted, callbacks target);
    /// Starts to connect to `address`, "ip:port". A failure is reported by `ended`, never from inside the constructor.
    /// Throws format_error for a malformed address, io_error if no socket can be created.
    line_socket(fd_watcher& sockets, const std::string& address, limits wanted, callbacks target);
    line_socket(const line_socket&) = delete;
    line_socket& operator=(const line_socket&) = delete;
    line_socket(line_socket&&) = delete;
    line_socket& operator=(line_socket&&) = delete;
    ~line_socket();

    /// Charges the input and output buffers to `account`, which must outlive the socket. Unfinished lines above
    /// `small_input_bytes` are read only while the account has room for them; see `waits_for_room`.
    void charge_to(memory_account& account);
    /// Passes no more lines on until `release_lines`, and reads no further than `small_input_bytes` ahead. Allowed inside
    /// callbacks.
    void hold_lines() { this->holds_lines = true; }
    /// Passes on the lines that were held and reads on. Must not be called inside a callback.
    void release_lines();
    /// Removes the complete lines that are held and returns them, for a connection that is to be finished.
    [[nodiscard]] std::vector<std::string> take_held_lines();
    /// Reads on if the socket waits for room. Must not be called inside a callback.
    void retry_reading();

    /// Sends `text`, which must consist of complete lines. The main loop sends what the kernel does not accept now.
    void write(std::string_view text);
    /// Closes the connection at once. No callback follows. Allowed inside a callback, unlike destroying the object.
    void close();
    /// Sends what is buffered, shuts down the sending half and closes the connection once the remote side has closed its half.
    /// Closing at once with unread input would reset the connection before the last answer has arrived. The remote side has 10 s
    /// to take the output, and 1 s from then on to close its half. No callback follows.
    void finish();

    /// Returns true if the socket does not read on because the account has no room.
    [[nodiscard]] bool waits_for_room() const { return this->is_waiting_for_room; }
    /// Returns true if bytes were received that are not passed on yet.
    [[nodiscard]] bool has_input() const { return !this->input.empty() || this->is_reading_stopped; }
    [[nodiscard]] bool is_holding_lines() const { return this->holds_lines; }
    [[nodiscard]] std::size_t input_bytes() const { return this->input.size(); }
    /// Returns the number of bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t output_bytes() const { return this->output.size() - this->written; }
    /// Number of bytes that the kernel has accepted so far.
    [[nodiscard]] std::uint64_t sent_bytes() const { return this->sent_total; }

    /// Input of this size is read without asking the account. Large buffers are given back once they hold less.
    static constexpr std::size_t small_input_bytes = std::size_t{64} * 1024;

    [[nodiscard]] bool is_open() const { return this->current != phase::closed; }
    /// True from the call of `finish` until the connection is closed.
    [[nodiscard]] bool is_finishing() const { return this->current == phase::finishing; }

private:
    enum class phase : std::uint8_t { connecting, open, finishing, closed };

    void start();
    void on_ready(fd_readiness ready);
    void finish_connecting();
    void read_available();
    void deliver_lines();
    void flush();
    void close_after(guint delay_ms);
    [[nodiscard]] bool may_read();
    void stop_reading();
    void release_buffers();
    void update_charges();
    void fail(line_socket_close_reason cause);

    fd_watcher& watcher;
    g_pointer<GSocket> socket;
    limits bounds;
    callbacks notify;
    phase current = phase::open;
    std::string input;
    std::size_t scanned = 0;  ///< Bytes at the front of `input` that are known to hold no line end.
    std::string output;
    std::size_t written = 0;  ///< Bytes of `output` that the kernel has accepted.
    std::uint64_t sent_total = 0;
    memory_account* charged = nullptr;
    std::size_t charged_input = 0;
    std::size_t reserved_input = 0;  ///< Charged in place of `input.size()` while a long line arrives.
    std::size_t charged_output = 0;
    bool holds_lines = false;
    bool is_reading_stopped = false;
    bool is_waiting_for_room = false;
    bool is_delivering = false;
    bool is_half_closed = false;
    g_source_handle end_timer;  ///< Ends a finished connection.
};

}  // namespace camphorstack
