#include "session_fleet/moved_routes.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
/// Time in which a host that reads at a database learns positions of its primary.
constexpr millis sampling_time{700};
/// Longer than `fresh_write_time`, within which a session reads at the leader.
constexpr millis after_fresh_write{80};

/// Opens a session near the replicas db0-1 and db1-1 on the route that the tests move.
session_id open_moved_session(session_fleet& fleet) {
    fleet.run_for(start_time);
    return fleet.open_session("host-3", consistency::read_your_writes);
}

void write(session_fleet& fleet, session_id session, const std::string& item, const std::string& value) {
    REQUIRE(fleet.ask(session, write_statement("w-" + value, item, value)).code == result_code::none);
}

/// Makes positions of the current database higher than those of the others, at its replicas too.
void lengthen_log(session_fleet& fleet, session_id session) {
    for (int i = 0; i < 5; ++i) {
        write(fleet, session, "other", std::to_string(i));
    }
    fleet.run_for(after_fresh_write);
}

/// Reads an item a number of times, 25 ms apart, and checks its value.
void check_reads(session_fleet& fleet, session_id session, const std::string& prefix, int count, const std::string& value) {
    for (int i = 0; i < count; ++i) {
        const auto read = fleet.ask(session, read_statement(prefix + std::to_string(i), "item"));
        CHECK(read.code == result_code::none);
        CHECK(read.rows == std::vector<std::string>{value});
        fleet.run_for(millis{25});
    }
}

/// Reads in both databases, so that the session's host knows positions of both.
void read_in_both(session_fleet& fleet, session_id session) {
    for (const std::size_t database : {1, 0}) {
        move_route(fleet, database);
        REQUIRE(fleet.ask(session, read_statement("first-" + std::to_string(database), "item")).code == result_code::none);
        fleet.run_for(sampling_time);
    }
}

/// Makes another instance the leader of a database. Returns its id.
endpoint_id change_leader(session_fleet& fleet, std::size_t database) {
    const auto name = "db" + std::to_string(database);
    fleet.kill_instance(name + "-0");
    const auto serves = [&] {
        const auto& leader = fleet.host("host-3").catalog.leaders.at(name).record;
        return leader.phase == leader_phase::serving && leader.endpoint != name + "-0";
    };
    REQUIRE(fleet.run_until(serves, millis{10000}));
    return fleet.host("host-3").catalog.leaders.at(name).record.endpoint;
}

}  // namespace

// Guards against a position in another database's log that replaces the position of the session's own write (review/8).
TEST_CASE("a session reads its own write after its route was moved to another database and back",
          "[session-fleet][moved-routes]") {
    session_fleet fleet;
    const auto session = open_moved_session(fleet);
    read_in_both(fleet, session);
    lengthen_log(fleet, session);
    fleet.lagging = {"db0-1", "db0-2"};
    write(fleet, session, "item", "first");
    move_route(fleet, 1);
    write(fleet, session, "item", "second");
    move_route(fleet, 0);
    fleet.run_for(after_fresh_write);
    check_reads(fleet, session, "back", 20, "first");
}

// Guards against replicas that are asked for a position in another database's log, which they do not reach.
TEST_CASE("a session that has moved reads at replicas again once they have its last write there",
          "[session-fleet][moved-routes]") {
    session_fleet fleet;
    const auto session = open_moved_session(fleet);
    read_in_both(fleet, session);
    write(fleet, session, "item", "first");
    move_route(fleet, 1);
    for (int i = 0; i < 10; ++i) {
        write(fleet, session, "item", "second-" + std::to_string(i));
    }
    fleet.run_for(after_fresh_write);
    check_reads(fleet, session, "there", 10, "second-9");
    CHECK(endpoints_of_reads(fleet, 1, "there") == std::vector<endpoint_id>(10, "db1-1"));

    move_route(fleet, 0);
    check_reads(fleet, session, "back", 10, "first");
    CHECK(endpoints_of_reads(fleet, 0, "back") == std::vector<endpoint_id>(10, "db0-1"));
}

// Guards against a round of another database's leader that makes the session's own position count for nothing, or for every
// later round.
TEST_CASE("rounds of another database's leader do not count for a session's own write", "[session-fleet][moved-routes]") {
    session_fleet fleet;
    SECTION("a later round there") {
        const auto session = open_moved_session(fleet);
        read_in_both(fleet, session);
        change_leader(fleet, 1);
        write(fleet, session, "item", "first");
        move_route(fleet, 1);
        write(fleet, session, "item", "second");
        move_route(fleet, 0);
        REQUIRE(fleet.ask(session, read_statement("sampling", "item")).code == result_code::none);
        fleet.run_for(sampling_time);
        check_reads(fleet, session, "back", 10, "first");
        CHECK(endpoints_of_reads(fleet, 0, "back") == std::vector<endpoint_id>(10, "db0-1"));
    }
    SECTION("an earlier round there") {
        fleet.run_for(start_time);
        const bool leads_near_host_3 = change_leader(fleet, 0) == "db0-1";
        const auto session = fleet.open_session(leads_near_host_3 ? "host-5" : "host-3", consistency::read_your_writes);
        read_in_both(fleet, session);
        lengthen_log(fleet, session);
        fleet.lagging = {leads_near_host_3 ? "db0-2" : "db0-1"};
        write(fleet, session, "item", "first");
        move_route(fleet, 1);
        write(fleet, session, "item", "second");
        move_route(fleet, 0);
        fleet.run_for(after_fresh_write);
        check_reads(fleet, session, "back", 20, "first");
    }
}
