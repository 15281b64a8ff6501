#include <catch2/catch.hpp>

#include "camphorstack/session_host/connection_shares.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr std::size_t workspace_count = 40;

/// Asks for a read of each workspace at the first database, one after the other, and returns how many succeed within `limit` of
/// the last.
std::size_t count_served(session_fleet& fleet, millis limit) {
    std::vector<session_id> sessions;
    for (std::size_t workspace = 0; workspace < workspace_count; ++workspace) {
        const auto host = "host-" + std::to_string(workspace % 7);
        sessions.push_back(
            fleet.connect(host, session_fleet::route_name(0, consistency::primary), session_fleet::key_of(workspace)));
    }
    fleet.run_for(millis{50});
    for (const auto session : sessions) {
        fleet.send(session, read_statement("r" + std::to_string(session), "item"));
        fleet.run_for(millis{15});
    }
    fleet.run_for(limit);
    return static_cast<std::size_t>(std::ranges::count_if(sessions, [&fleet](session_id session) {
        const auto& answers = fleet.caller(session).answers;
        return answers.size() == 1 && answers.front().answer.code == result_code::none;
    }));
}

}  // namespace

TEST_CASE("callers are served while endpoints still hold the connections of hosts that have lost power",
          "[session-fleet][recovery][power-loss]") {
    session_fleet fleet(fleet_options{.workspaces = workspace_count, .connections = 40});
    REQUIRE(fleet.run_until([&] { return fleet.ready_hosts() == 7; }, millis{5000}));
    fleet.run_for(millis{2000});
    REQUIRE(count_served(fleet, millis{2000}) == workspace_count);

    for (int i = 0; i < 7; ++i) {
        fleet.cut_power("host-" + std::to_string(i));
    }
    fleet.run_for(millis{500});
    for (int i = 0; i < 7; ++i) {
        fleet.start_host("host-" + std::to_string(i));
    }
    REQUIRE(fleet.run_until([&] { return fleet.ready_hosts() == 7; }, millis{2000}));
    fleet.run_for(millis{300});
    const auto since_loss = millis{500 + 2000 + 300};
    REQUIRE(since_loss < fleet.dark_connection_time);
    CHECK(count_served(fleet, millis{1000}) == workspace_count);
}

TEST_CASE("an owner leaves connections to hosts that cannot reach it and to its successor", "[connection-shares]") {
    SECTION("half of them, where the other half is enough for the statements in flight") {
        CHECK(owner_connection_limit({70, 4, 2}, 3) == 33);
        CHECK(owner_connection_limit({56, 4, 2}, 3) == 26);
    }
    SECTION("fewer than half, where half is too little") {
        CHECK(owner_connection_limit({34, 2, 2}, 3) == 16);
        CHECK(owner_connection_limit({20, 2, 2}, 3) == 16);
    }
    SECTION("only the spare ones, where all others are needed") {
        CHECK(owner_connection_limit({16, 2, 2}, 3) == 13);
    }
    SECTION("none, where there are too few") {
        CHECK(owner_connection_limit({2, 2, 2}, 3) == 1);
        CHECK(owner_connection_limit({0, 0, 0}, 3) == 1);
    }
}
