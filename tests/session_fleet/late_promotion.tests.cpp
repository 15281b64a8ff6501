#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

// Guards against a database without writes for good: the platform has carried out a promotion late, and the record of the fleet
// names the endpoint that this has replaced.
TEST_CASE("a database whose leader was replaced by a late promotion is written to again", "[session-fleet][late-promotion]") {
    session_fleet fleet;
    fleet.run_for(millis{6000});
    const auto session = fleet.open_session("host-1", consistency::primary);
    REQUIRE(fleet.ask(session, write_statement("w0", "item", "before")).code == result_code::none);
    auto& database = fleet.database(0);
    const auto replaced = database.primary().entry.id;
    const auto promoted = replaced == "db0-1" ? "db0-2" : "db0-1";
    REQUIRE(database.instances.contains(promoted));
    REQUIRE(database.promote(promoted));
    // The replaced primary follows the new one.
    database.instances.at(replaced).primary = false;
    // Longer than `replaced_time`, a change of leader and the settling of the store.
    fleet.run_for(millis{8000});
    const auto later = fleet.open_session("host-2", consistency::primary);
    const auto answer = fleet.ask(later, write_statement("w1", "item", "after"));
    CHECK(answer.code == result_code::none);
    CHECK(holds_write(database.instances.at(promoted), "w1"));
}
