#include "camphorstack/links/line_socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>

#include "links/run_main_loop.hpp"

using namespace camphorstack;
using namespace camphorstack::tests;

namespace {

constexpr std::size_t output_bytes = std::size_t{2} * 1024 * 1024;
constexpr int small_buffer_bytes = 32 * 1024;

/// A line socket and the remote side of its connection, with small buffers in the kernel.
class connected_pair {
public:
    connected_pair() {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address), length) == 0);
        REQUIRE(listen(listener, 1) == 0);
        REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
        this->remote = ::socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(this->remote, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes, sizeof(small_buffer_bytes));
        REQUIRE(connect(this->remote, reinterpret_cast<const sockaddr*>(&address), length) == 0);
        const int accepted = accept(listener, nullptr, nullptr);
        ::close(listener);
        REQUIRE(accepted >= 0);
        setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &small_buffer_bytes, sizeof(small_buffer_bytes));
        line_socket::limits limits;
        limits.acknowledgement_timeout = millis{60000};
        this->local = std::make_unique<line_socket>(this->watcher, g_adopt(g_socket_new_from_fd(accepted, nullptr)), limits,
                                                    line_socket::callbacks{{}, [](std::string_view) {}, {}});
    }
    connected_pair(const connected_pair&) = delete;
    connected_pair& operator=(const connected_pair&) = delete;
    connected_pair(connected_pair&&) = delete;
    connected_pair& operator=(connected_pair&&) = delete;
    ~connected_pair() {
        this->local.reset();
        ::close(this->remote);
    }

    /// Takes at most this many bytes at the remote side. Returns the number of bytes that it has taken so far.
    std::size_t take(std::size_t limit) {
        std::array<char, 65536> chunk{};
        const auto count = recv(this->remote, chunk.data(), std::min(limit, chunk.size()), MSG_DONTWAIT);
        this->taken += count > 0 ? static_cast<std::size_t>(count) : 0;
        return this->taken;
    }

    fd_watcher watcher;
    std::unique_ptr<line_socket> local;
    int remote = -1;
    std::size_t taken = 0;
};

}  // namespace

// Guards against answers that are cut off because their receiver takes longer than a moment (review/9).
TEST_CASE("a finished connection sends all of its output to a remote side that takes it slowly", "[line-socket]") {
    connected_pair pair;
    pair.local->write(std::string(output_bytes, 'x'));
    pair.local->finish();
    REQUIRE(pair.local->output_bytes() > output_bytes / 2);
    // 20 kB each 10 ms: about 2 MB a second, less beside load.
    while (pair.local->is_open() && pair.take(20000) < output_bytes) {
        run_for(millis{10});
    }
    CHECK(pair.taken == output_bytes);
}

TEST_CASE("a finished connection ends although its remote side does not end it", "[line-socket]") {
    connected_pair pair;
    SECTION("a moment after all output was taken") {
        pair.local->write("x\r\n");
        pair.local->finish();
        CHECK(run_until([&] { return !pair.local->is_open(); }, millis{3000}));
    }
    SECTION("after 10 s if the output is not taken") {
        pair.local->write(std::string(output_bytes, 'x'));
        pair.local->finish();
        CHECK(run_until([&] { return !pair.local->is_open(); }, millis{15000}));
    }
}
