#include <catch2/catch.hpp>

#include "camphorstack/hosts/host.hpp"

using namespace camphorstack;

// Guards against a caller that waits until its deadline because the result is too large for a link between hosts.
TEST_CASE("a reply too large for a link is replaced by one without the result", "[not-run-is-true][large-messages]") {
    host_settings settings;
    settings.self = {"h0", "127.0.0.1:7000", "127.0.0.1:8000", "amman-a"};
    settings.seeds = {{"h1", "127.0.0.1:7001", "127.0.0.1:8001", "amman-a"}};
    const instant now{10'000};
    const auto host = make_host(settings, random_source(1), now);
    database_reply large;
    large.id = "h1/n/7";
    large.outcome = request_outcome::done;
    large.body = "too much";
    large.served_by = "db-1-a";
    const auto actions = step(*host, peer_not_sent{"h1", forward_reply{large}, not_sent_cause::too_large}, now);
    REQUIRE(actions.size() == 1);
    const auto& sent = std::get<send_to_peer>(actions.front());
    CHECK(sent.peer == "h1");
    const auto& reply = std::get<forward_reply>(sent.message.body).reply;
    CHECK(reply.id == large.id);
    CHECK(reply.outcome == request_outcome::unknown);
    CHECK(reply.served_by == large.served_by);
    CHECK(step(*host, peer_not_sent{"h1", forward_reply{large}}, now).empty());
}
