#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
constexpr millis sampling_time{700};
/// Longer than `fresh_write_time`, within which a session reads at the leader.
constexpr millis after_fresh_write{80};

}  // namespace

// Guards against reads that miss a session's write because the write's answer named no position in the log.
TEST_CASE("a session reads its own write whose answer named no position", "[session-fleet][unknown-positions]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-3", consistency::read_your_writes);
    REQUIRE(fleet.ask(session, read_statement("sampling", "item")).code == result_code::none);
    fleet.run_for(sampling_time);
    REQUIRE(fleet.ask(session, write_statement("w1", "item", "first")).code == result_code::none);
    fleet.run_for(sampling_time);
    fleet.lagging = {"db0-1", "db0-2"};
    fleet.database(0).hides_positions_of_writes = true;
    REQUIRE(fleet.ask(session, write_statement("w2", "item", "second")).code == result_code::none);
    fleet.database(0).hides_positions_of_writes = false;
    fleet.run_for(after_fresh_write);
    for (int i = 0; i < 10; ++i) {
        const auto read = fleet.ask(session, read_statement("r" + std::to_string(i), "item"));
        CHECK(read.code == result_code::none);
        CHECK(read.rows == std::vector<std::string>{"second"});
        fleet.run_for(millis{20});
    }

    // The session reads at replicas again once they have reached a position that the primary named after the write.
    fleet.lagging.clear();
    fleet.run_for(sampling_time);
    REQUIRE(fleet.ask(session, read_statement("sampling-again", "item")).rows == std::vector<std::string>{"second"});
    fleet.run_for(sampling_time);
    fleet.database(0).runs.clear();
    REQUIRE(fleet.ask(session, read_statement("last", "item")).rows == std::vector<std::string>{"second"});
    CHECK(fleet.database(0).runs.back().endpoint == "db0-1");
}
