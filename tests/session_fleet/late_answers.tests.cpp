#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
constexpr std::size_t host_count = 7;

}  // namespace

// Guards against evidence that looks younger than it is, because an answer to a host's earlier process arrives at its successor.
TEST_CASE("an answer to an earlier process of a host proves nothing to a later one", "[session-fleet][late-answers]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto restart = [&fleet] {
        fleet.kill_host("host-3");
        fleet.start_host("host-3");
        fleet.run_for(millis{3000});
    };
    restart();
    const auto earlier = fleet.host("host-3").coordination.unanswered_reports;
    REQUIRE_FALSE(earlier.empty());
    restart();
    auto& host = fleet.host("host-3");
    REQUIRE(host.catalog.coordinator);
    const auto coordinator = host.catalog.coordinator->record.host.id;
    REQUIRE(coordinator != "host-3");
    const auto& watch = watch_of(host, collection::document);
    const auto evidence = watch.evidence;
    for (const auto& [sequence, sent] : earlier) {
        const membership_answer late{true, sequence, {{collection::document, watch.last_change, millis{0}}}};
        static_cast<void>(step(host, peer_message{coordinator, late}, fleet.now()));
    }
    CHECK(watch.evidence == evidence);
}

// Guards against an answer of another host that counts for a second request.
TEST_CASE("answers between hosts that arrive again later change nothing", "[session-fleet][late-answers]") {
    session_fleet fleet;
    fleet.repeats_answers = true;
    fleet.run_for(start_time);
    std::vector<session_id> sessions;
    for (std::size_t i = 0; i < host_count; ++i) {
        sessions.push_back(fleet.open_session("host-" + std::to_string(i), consistency::primary, i));
    }
    for (int round = 0; round < 20; ++round) {
        for (const auto session : sessions) {
            const auto name = std::to_string(session) + "-" + std::to_string(round);
            const auto written = fleet.ask(session, write_statement("w" + name, "item-" + std::to_string(session), name));
            CHECK(written.code == result_code::none);
            CHECK(written.proof == "proof-w" + name);
            const auto read = fleet.ask(session, read_statement("r" + name, "item-" + std::to_string(session)));
            CHECK(read.proof == "proof-r" + name);
            CHECK(read.rows == std::vector<std::string>{name});
        }
    }
    CHECK(fleet.database(0).runs.size() == 2 * 20 * host_count);
}
