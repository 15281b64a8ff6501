#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>

#include "camphorstack/support/socket_address.hpp"
#include "links/run_main_loop.hpp"
#include "platform/store_link.hpp"

using namespace camphorstack;
using camphorstack::tests::run_until;

namespace {

/// A service that accepts a connection and never answers.
struct silent_service {
    silent_service() {
        const auto local = parse_socket_address("127.0.0.1:0");
        g_socket_set_blocking(this->listener.get(), FALSE);
        REQUIRE(g_socket_bind(this->listener.get(), local.get(), TRUE, nullptr));
        REQUIRE(g_socket_listen(this->listener.get(), nullptr));
    }

    std::string address() const {
        const auto local = g_adopt(g_socket_get_local_address(this->listener.get(), nullptr));
        return format_socket_address(local.get());
    }

    /// Reads what has arrived. Returns the error that ended the connection, 0 if it was closed, or EAGAIN if it is open.
    int read_available() {
        std::array<char, 4096> chunk{};
        while (true) {
            const auto count = recv(g_socket_get_fd(this->connection.get()), chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (count <= 0) {
                return count == 0 ? 0 : errno;
            }
            this->received.append(chunk.data(), static_cast<std::size_t>(count));
        }
    }

    g_pointer<GSocket> listener =
        g_adopt(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_pointer<GSocket> connection;
    std::string received;
};

}  // namespace

// Guards against a promotion that is carried out after its sender's successor has promoted another endpoint: a network that holds
// bytes up delivers them later, unless their connection is reset.
TEST_CASE("a promotion call that is not answered in time is reset, not closed", "[platform][promotion-call]") {
    silent_service service;
    std::optional<promotion_status> answered;
    platform::store_link link(service.address(), service.address(), millis{5000}, [&](const session_host_event& event) {
        if (const auto* answer = std::get_if<promotion_answer>(&event)) {
            answered = answer->status;
        }
    });
    link.carry_out(promotion_call{1, "db", "db-1", "front-1", 7, millis{300}});
    REQUIRE(run_until([&] {
        service.connection = g_adopt(g_socket_accept(service.listener.get(), nullptr, nullptr));
        return service.connection != nullptr;
    }));
    REQUIRE(run_until([&] {
        REQUIRE(service.read_available() == EAGAIN);
        return service.received.find("POST /promotion") != std::string::npos;
    }));
    REQUIRE(run_until([&] { return answered.has_value(); }, millis{2000}));
    CHECK(answered == promotion_status::no_answer);
    int end = EAGAIN;
    CHECK(run_until(
        [&] {
            end = service.read_available();
            return end != EAGAIN;
        },
        millis{1000}));
    CHECK(end == ECONNRESET);
}
