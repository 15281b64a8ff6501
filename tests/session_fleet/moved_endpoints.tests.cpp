#include <algorithm>
#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};

/// Writes to the first database until a write succeeds. Returns its id; empty if none has within `limit`.
std::string write_until_done(session_fleet& fleet, session_id session, millis limit) {
    const auto end = fleet.now() + limit;
    for (int i = 0; fleet.now() < end; ++i) {
        const auto id = "later-" + std::to_string(i);
        if (fleet.ask(session, write_statement(id, "item", id)).code == result_code::none) {
            return id;
        }
        fleet.run_for(millis{50});
    }
    return "";
}

}  // namespace

// Guards against a leader record, a lease and positions that were learnt of an endpoint while it belonged to another database.
TEST_CASE("a database is not served at an endpoint that has become another database's", "[session-fleet][moved-endpoints]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-3", consistency::primary);
    REQUIRE(fleet.ask(session, write_statement("first", "item", "1")).code == result_code::none);
    REQUIRE(fleet.host("host-3").catalog.leaders.at("db0").record.endpoint == "db0-0");

    fleet.database(0).instances.at("db0-0").entry.database = "db1";
    const auto knows = [&] { return fleet.host("host-3").catalog.endpoints.at("db0-0").database == "db1"; };
    REQUIRE(fleet.run_until(knows, millis{1000}));
    fleet.run_for(millis{100});
    fleet.database(0).runs.clear();
    const auto written = write_until_done(fleet, session, millis{15000});
    REQUIRE_FALSE(written.empty());
    CHECK(fleet.host("host-3").catalog.leaders.at("db0").record.endpoint != "db0-0");
    CHECK(std::ranges::none_of(fleet.database(0).runs, [](const auto& run) { return run.endpoint == "db0-0"; }));
    const auto read = fleet.ask(session, read_statement("last", "item"));
    CHECK(read.rows == std::vector<std::string>{written});
}
