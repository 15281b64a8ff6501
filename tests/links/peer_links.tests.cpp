#include "camphorstack/links/peer_links.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "camphorstack/links/peer_codec.hpp"
#include "camphorstack/support/errors.hpp"
#include "links/main_loop.hpp"

using namespace camphorstack;

namespace {

const std::string fleet_secret = "a secret of the fleet";

/// Peer links of one host with the events that they delivered.
struct test_host {
    explicit test_host(const host_id& id, const std::string& secret = fleet_secret, peer_link_limits limits = {})
        : links(
              member{id, "127.0.0.1:0", "", ""}, secret, [this](host_event event) { this->events.push_back(std::move(event)); },
              limits) {}

    template <typename Event>
    [[nodiscard]] std::vector<Event> all() const {
        std::vector<Event> found;
        for (const auto& event : this->events) {
            if (const auto* match = std::get_if<Event>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    void send(const host_id& peer, const std::string& address, peer_body body, const host_id& from = "a") {
        this->links.send({peer, address, {from, std::move(body)}});
    }

    std::vector<host_event> events;
    peer_links links;
};

}  // namespace

TEST_CASE("messages arrive whole and in order, the largest included", "[peer-links][whole-answer]") {
    test_host a("a");
    test_host b("b");
    const std::string large(1'400'000, 'x');
    std::vector<peer_message> sent;
    for (std::uint64_t i = 0; i < 50; ++i) {
        peer_body body = relay_probe{"c", i};
        if (i % 10 == 9 && i < 40) {
            body = document_reply{i, large};
        }
        sent.push_back({"a", body});
        a.send("b", b.links.bound_address(), body);
        CHECK(a.events.empty());
    }
    REQUIRE(run_until([&] { return b.all<peer_message>().size() == sent.size(); }));
    CHECK(b.all<peer_message>() == sent);
    CHECK(a.all<peer_connected>() == std::vector<peer_connected>{{"b"}});
    CHECK(a.links.counters().opened == 1);
    CHECK(b.links.counters().accepted == 1);
}
