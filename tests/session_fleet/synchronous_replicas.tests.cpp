#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};

/// Writes at the primary of the first database. Returns the ids of the acknowledged statements.
std::vector<std::string> write_some(session_fleet& fleet, const std::string& tag, int count) {
    const auto session = fleet.connect("host-3", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    std::vector<std::string> acknowledged;
    for (int i = 0; i < count; ++i) {
        const auto id = tag + std::to_string(i);
        if (fleet.ask(session, write_statement(id, "item", id)).code == result_code::none) {
            acknowledged.push_back(id);
        }
    }
    return acknowledged;
}

bool has_all(const instance_model& instance, const std::vector<std::string>& ids) {
    return std::ranges::all_of(ids, [&](const std::string& id) { return holds_write(instance, id); });
}

/// Returns true if every endpoint that was promoted had all the statements when its promotion was requested.
bool promoted_with_all(session_fleet& fleet, const std::vector<std::string>& ids) {
    return std::ranges::all_of(fleet.promotions, [&](const promotion_call& call) {
        return has_all(fleet.database(0).instances.at(call.endpoint), ids);
    });
}

bool serves_writes(session_fleet& fleet, millis limit) {
    const auto began = fleet.now();
    for (int i = 0; fleet.now() - began < limit; ++i) {
        if (!write_some(fleet, "after" + std::to_string(i) + "-", 1).empty()) {
            return true;
        }
        fleet.run_for(millis{50});
    }
    return false;
}

}  // namespace

// Guards against a promotion that drops acknowledged writes because only a replica that takes no new work had received them
// (review/2).
TEST_CASE("a promotion keeps writes that only a replica without new work has received", "[session-fleet][synchronous]") {
    const std::string reason = GENERATE(std::string("draining"), std::string("evacuated"));
    const std::string loss = GENERATE(std::string("crash"), std::string("cut off"), std::string("gone"));
    const auto holder = GENERATE(endpoint_id("db0-1"), endpoint_id("db0-2"));
    const endpoint_id other = holder == "db0-1" ? "db0-2" : "db0-1";
    session_fleet fleet(fleet_options{.synchronous_replicas = 1});
    fleet.run_for(start_time);
    auto& instances = fleet.database(0).instances;
    if (reason == "draining") {
        instances.at(holder).entry.draining = true;
    } else {
        fleet.store.put(collection::evacuations, instances.at(holder).entry.location, evacuation_item{});
    }
    fleet.run_for(millis{1000});
    fleet.lagging = {other};
    const auto acknowledged = write_some(fleet, "w", 5);
    REQUIRE(acknowledged.size() == 5);
    fleet.run_for(millis{10});
    if (loss == "cut off") {
        fleet.cut_from_hosts("db0-0");
        fleet.lagging.insert("db0-0");
        // The primary is suspected once a statement gets no answer.
        const auto session = fleet.connect("host-4", session_fleet::route_name(0, consistency::primary), "key-1");
        fleet.run_for(millis{20});
        fleet.send(session, write_statement("unanswered", "item", "x"));
    } else {
        fleet.kill_instance("db0-0");
    }
    if (loss == "gone") {
        fleet.store.remove(collection::endpoints, "db0-0");
    }
    CAPTURE(reason, loss, holder);
    REQUIRE(fleet.run_until([&] { return !fleet.promotions.empty(); }, millis{6000}));
    CHECK(promoted_with_all(fleet, acknowledged));
    CHECK(fleet.promotions.front().endpoint == holder);
    fleet.run_for(millis{1000});
    // The holder serves nothing as the leader as long as a successor may take over.
    fleet.database(0).runs.clear();
    CHECK(write_some(fleet, "early", 1).empty());
    CHECK(fleet.database(0).runs.empty());
    fleet.lagging = {"db0-0"};
    CHECK(serves_writes(fleet, millis{6000}));
    CHECK(fleet.database(0).primary().entry.id == other);
    CHECK(promoted_with_all(fleet, acknowledged));
}

// Guards against a promotion without the position of a replica that may be the only one with an acknowledged write.
TEST_CASE("a change waits for a replica that may have acknowledged writes", "[session-fleet][synchronous]") {
    session_fleet fleet(fleet_options{.synchronous_replicas = 1});
    fleet.run_for(start_time);
    fleet.lagging = {"db0-1"};
    const auto acknowledged = write_some(fleet, "w", 5);
    fleet.run_for(millis{10});
    fleet.cut_from_hosts("db0-2");
    fleet.kill_instance("db0-0");
    fleet.run_for(millis{5000});
    CHECK(fleet.promotions.empty());
    SECTION("the replica can be reached again") {
        fleet.heal();
        CHECK(serves_writes(fleet, millis{6000}));
        CHECK(promoted_with_all(fleet, acknowledged));
        CHECK(fleet.database(0).primary().entry.id == "db0-2");
    }
    SECTION("the replica's entry is gone") {
        fleet.kill_instance("db0-2");
        CHECK(serves_writes(fleet, millis{6000}));
    }
}

// Guards against a planned change that gives up on the old leader's log after a time limit.
TEST_CASE("a planned change with synchronous replicas drops no write, however long the successor lags",
          "[session-fleet][synchronous]") {
    session_fleet fleet(fleet_options{.synchronous_replicas = 1});
    fleet.run_for(start_time);
    fleet.lagging = {"db0-1"};
    auto& instances = fleet.database(0).instances;
    instances.at("db0-2").entry.draining = true;
    const auto acknowledged = write_some(fleet, "w", 5);
    instances.at("db0-0").entry.draining = true;
    fleet.run_for(millis{6000});
    CHECK(promoted_with_all(fleet, acknowledged));
    fleet.lagging.clear();
    fleet.run_for(millis{4000});
    CHECK(fleet.database(0).primary().entry.id == "db0-1");
    CHECK(promoted_with_all(fleet, acknowledged));
    CHECK(serves_writes(fleet, millis{2000}));
}

// Guards against a change that never ends because the only replicas take no new work.
TEST_CASE("a replica without new work serves if there is no other one", "[session-fleet][synchronous]") {
    session_fleet fleet(fleet_options{.synchronous_replicas = 1});
    fleet.run_for(start_time);
    auto& instances = fleet.database(0).instances;
    instances.at("db0-1").entry.draining = true;
    instances.at("db0-2").entry.draining = true;
    fleet.run_for(millis{500});
    const auto acknowledged = write_some(fleet, "w", 5);
    fleet.run_for(millis{20});
    fleet.kill_instance("db0-0");
    CHECK(serves_writes(fleet, millis{6000}));
    CHECK(promoted_with_all(fleet, acknowledged));
}

// Guards against a change whose coordinator dies after it has promoted a replica without new work.
TEST_CASE("another coordinator finishes a change that has promoted a replica without new work", "[session-fleet][synchronous]") {
    session_fleet fleet(fleet_options{.synchronous_replicas = 1});
    fleet.run_for(start_time);
    fleet.database(0).instances.at("db0-2").entry.draining = true;
    fleet.run_for(millis{500});
    fleet.lagging = {"db0-1"};
    const auto acknowledged = write_some(fleet, "w", 5);
    fleet.run_for(millis{10});
    fleet.kill_instance("db0-0");
    REQUIRE(fleet.run_until([&] { return !fleet.promotions.empty(); }, millis{6000}));
    fleet.run_for(millis{GENERATE(50, 350, 900)});
    const auto coordinator = fleet.host("host-3").catalog.coordinator->record.host.id;
    if (coordinator != "host-3") {
        fleet.kill_host(coordinator);
    }
    fleet.run_for(millis{3000});
    fleet.lagging.clear();
    CHECK(serves_writes(fleet, millis{10000}));
    CHECK(promoted_with_all(fleet, acknowledged));
    CHECK(fleet.database(0).primary().entry.id == "db0-1");
}
