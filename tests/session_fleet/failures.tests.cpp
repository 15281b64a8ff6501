#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};

/// Attempts writes at a host until one is acknowledged. Returns the time that this took, or `limit`.
millis time_to_write(session_fleet& fleet, const host_id& host, const std::string& tag, millis limit) {
    const auto began = fleet.now();
    for (int i = 0; fleet.now() - began < limit; ++i) {
        const auto session = fleet.connect(host, session_fleet::route_name(0, consistency::primary), "key-0");
        const auto& caller = fleet.caller(session);
        fleet.run_until([&] { return caller.accepted || caller.closed; }, limit);
        if (!caller.accepted || caller.closed) {
            fleet.run_for(millis{20});
            continue;
        }
        const auto answer = fleet.ask(session, write_statement(tag + std::to_string(i), "item", tag));
        if (answer.code == result_code::none) {
            return fleet.now() - began;
        }
        fleet.run_for(millis{20});
    }
    return limit;
}

const leader_record& leader_of(session_fleet& fleet, const host_id& host, const database_id& database) {
    return fleet.host(host).catalog.leaders.at(database).record;
}

host_id coordinator_of(session_fleet& fleet, const host_id& observer) {
    return fleet.host(observer).catalog.coordinator->record.host.id;
}

}  // namespace

TEST_CASE("a crashed primary is replaced, and writes go on within two seconds", "[session-fleet][failover]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    REQUIRE(time_to_write(fleet, "host-6", "before", millis{1000}) < millis{200});
    fleet.kill_instance("db0-0");
    CHECK(time_to_write(fleet, "host-6", "after", millis{6000}).count <= 2000);
    CHECK(fleet.promotions.size() == 1);
    CHECK(leader_of(fleet, "host-2", "db0").endpoint != "db0-0");
}

TEST_CASE("a primary that only some hosts reach acknowledges nothing once another one leads", "[session-fleet][former-primary]") {
    // Guards against two primaries at once: the former primary and the hosts in its data centre keep running, but are cut off
    // from the store and from all other hosts.
    session_fleet fleet;
    fleet.run_for(start_time);
    REQUIRE(time_to_write(fleet, "host-0", "before", millis{1000}) < millis{200});
    const std::vector<std::string> inside{"host-0", "host-1", "host-2", "db0-0"};
    const std::vector<std::string> outside{"host-3", "host-4", "host-5", "host-6", "db0-1", "db0-2", "store", "platform"};
    for (const auto& a : inside) {
        for (const auto& b : outside) {
            fleet.cut(a, b);
        }
    }
    fleet.lagging = {"db0-0"};
    const auto session = fleet.connect("host-0", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    std::optional<instant> last_success;
    int count = 0;
    const auto promoted = [&] { return fleet.database(0).primary().entry.id != "db0-0"; };
    const auto began = fleet.now();
    while (fleet.now() - began < millis{12000}) {
        const auto answer = fleet.ask(session, write_statement("cut" + std::to_string(count++), "item", "x"));
        if (answer.code == result_code::none) {
            CHECK_FALSE(promoted());
            last_success = fleet.now();
        }
        fleet.run_for(millis{30});
    }
    CHECK(last_success);
    fleet.store.remove(collection::endpoints, "db0-0");
    CHECK(time_to_write(fleet, "host-4", "outside", millis{8000}) < millis{8000});
}

TEST_CASE("a leader that drains is replaced without a lost write or a failed request", "[session-fleet][planned]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto writer = fleet.connect("host-3", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    std::vector<std::string> acknowledged;
    for (int i = 0; i < 150; ++i) {
        if (i == 30) {
            fleet.database(0).instances.at("db0-0").entry.draining = true;
        }
        const auto id = "w" + std::to_string(i);
        const auto answer = fleet.ask(writer, write_statement(id, "item", id));
        CHECK(answer.code == result_code::none);
        acknowledged.push_back(id);
        fleet.run_for(millis{10});
    }
    const auto& leader = fleet.database(0).primary();
    CHECK(leader.entry.id != "db0-0");
    for (const auto& id : acknowledged) {
        CHECK(holds_write(leader, id));
    }
}

TEST_CASE("a dead host does not delay a planned change of leader", "[session-fleet][planned]") {
    // Guards against a planned change that waits for a member that has died or was just removed. With this fault, each change
    // took 2.6 s, and requests were refused for that time.
    const auto dead_for = GENERATE(millis{5000}, millis{12500}, millis{13500});
    session_fleet fleet;
    fleet.run_for(start_time);
    fleet.kill_host("host-6");
    fleet.run_for(dead_for);
    const auto writer = fleet.connect("host-3", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    fleet.database(0).instances.at("db0-0").entry.draining = true;
    for (int i = 0; i < 100; ++i) {
        CHECK(fleet.ask(writer, write_statement("w" + std::to_string(i), "item", "x")).code == result_code::none);
        const auto& received = fleet.caller(writer).answers.back();
        CHECK((received.at - received.asked).count <= 1000);
        fleet.run_for(millis{10});
    }
    CHECK(fleet.database(0).primary().entry.id != "db0-0");
}

TEST_CASE("hosts that cannot reach the store do not delay a change of leader", "[session-fleet][failover]") {
    // Guards against hosts without the store that learn of the leader record only when their evidence expires, 2.6 s later
    // (incidents inc-2f73 and inc-eae1).
    session_fleet fleet;
    fleet.run_for(start_time);
    for (const auto* host : {"host-4", "host-5", "host-6"}) {
        fleet.cut(host, "store");
    }
    fleet.run_for(millis{3000});
    SECTION("planned") {
        fleet.database(0).instances.at("db0-0").entry.draining = true;
    }
    SECTION("crash") {
        fleet.kill_instance("db0-0");
    }
    fleet.run_for(millis{100});
    CHECK(time_to_write(fleet, "host-1", "near", millis{6000}).count <= 1500);
    CHECK(time_to_write(fleet, "host-5", "turned away", millis{6000}).count <= 200);
}

TEST_CASE("a host that reaches only the store and the endpoints keeps serving, and a change of leader waits for it",
          "[session-fleet][former-primary]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    for (int i = 0; i < 6; ++i) {
        fleet.cut("host-6", "host-" + std::to_string(i));
    }
    fleet.run_for(millis{5000});
    const auto writer = fleet.connect("host-6", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    REQUIRE(fleet.ask(writer, write_statement("before", "item", "x")).code == result_code::none);
    // Without the store the host may use the old leader until its evidence expires. No endpoint may be promoted before that.
    fleet.cut("host-6", "store");
    fleet.database(0).instances.at("db0-0").entry.draining = true;
    const auto began = fleet.now();
    while (fleet.now() - began < millis{8000}) {
        const auto answer = fleet.ask(writer, write_statement("w" + std::to_string(fleet.now().since_start), "item", "x"));
        if (answer.code == result_code::none) {
            CHECK(fleet.database(0).primary().entry.id == "db0-0");
        }
        fleet.run_for(millis{20});
    }
    CHECK(fleet.database(0).primary().entry.id != "db0-0");
}

TEST_CASE("an evacuated data centre loses its leaders and its reads", "[session-fleet][planned]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    fleet.store.put(collection::evacuations, "amman-a", evacuation_item{});
    fleet.run_for(millis{4500});
    fleet.database(0).runs.clear();
    for (const auto kind : {consistency::primary, consistency::bounded_staleness, consistency::read_your_writes}) {
        const auto session = fleet.connect("host-0", session_fleet::route_name(0, kind), "key-0");
        for (int i = 0; i < 5; ++i) {
            CHECK(fleet.ask(session, read_statement("r" + std::to_string(i), "item")).code == result_code::none);
        }
    }
    for (const auto& run : fleet.database(0).runs) {
        CHECK(run.endpoint != "db0-0");
    }
}

TEST_CASE("a new coordinator promotes with a higher fence than its predecessor", "[session-fleet][fence]") {
    // Guards against fences that repeat or decrease when the coordinator role moves to another host, also during a change of
    // leader.
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    session_fleet fleet(fleet_options{.seed = seed});
    fleet.run_for(start_time);
    const auto first = coordinator_of(fleet, "host-6");
    fleet.kill_instance("db0-0");
    fleet.run_for(millis{seed * 150});
    fleet.kill_host(first);
    const auto survivor = first == "host-6" ? host_id("host-5") : host_id("host-6");
    CHECK(time_to_write(fleet, survivor, "after", millis{12000}) < millis{9000});
    fleet.start_host(first);
    fleet.kill_instance("db1-0");
    fleet.run_for(millis{5000});
    REQUIRE_FALSE(fleet.promotions.empty());
    fence_number highest = 0;
    std::map<fence_number, host_id> holders;
    for (const auto& call : fleet.promotions) {
        CHECK(call.fence >= highest);
        highest = std::max(highest, call.fence);
        CHECK(holders.try_emplace(call.fence, call.holder).first->second == call.holder);
    }
}

TEST_CASE("the fleet recovers from the store alone after all its hosts have died", "[session-fleet][recovery]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    for (int i = 0; i < 7; ++i) {
        fleet.kill_host("host-" + std::to_string(i));
    }
    fleet.run_for(millis{500});
    for (int i = 0; i < 7; ++i) {
        fleet.start_host("host-" + std::to_string(i));
    }
    CHECK(time_to_write(fleet, "host-5", "after", millis{6000}).count <= 3000);
}

TEST_CASE("a host that shuts down answers every statement that it has accepted", "[session-fleet][stop]") {
    // Guards against a session that is accepted after the last idle session was closed, and is cut off when the process exits.
    session_fleet fleet;
    fleet.run_for(start_time);
    std::vector<session_id> sessions;
    for (int i = 0; i < 10; ++i) {
        sessions.push_back(fleet.connect("host-3", session_fleet::route_name(0, consistency::primary), "key-0"));
    }
    fleet.run_for(millis{30});
    fleet.stop_host("host-3");
    for (int i = 0; i < 200; ++i) {
        const auto id = fleet.connect("host-3", session_fleet::route_name(0, consistency::primary), "key-0");
        sessions.push_back(id);
        fleet.run_for(millis{10});
        for (const auto session : {sessions[static_cast<std::size_t>(i) % 10], id}) {
            if (fleet.caller(session).accepted && !fleet.caller(session).closed) {
                fleet.send(session, read_statement("r" + std::to_string(i) + "-" + std::to_string(session), "item"));
            }
        }
        fleet.run_for(millis{10});
    }
    fleet.run_for(millis{6000});
    CHECK(fleet.ready_hosts() == 6);
    for (const auto session : sessions) {
        const auto& caller = fleet.caller(session);
        CHECK((caller.closed || !caller.accepted));
        // The caller may send one statement before it learns that the host has closed its idle session. The host never accepted
        // that statement, so it has no answer.
        CHECK(caller.order.size() <= 1);
        for (const auto& received : caller.answers) {
            CHECK(received.answer.code == result_code::none);
        }
    }
}

TEST_CASE("a watch without answers does not let the document's evidence expire", "[session-fleet][evidence]") {
    // Guards against hosts that stop serving when watches get no answers although the store answers lists. With this fault, all
    // hosts stopped serving for a second.
    session_fleet fleet;
    fleet.run_for(start_time);
    for (int i = 0; i < 7; ++i) {
        auto& watch = watch_of(fleet.host("host-" + std::to_string(i)), collection::document);
        watch.settings.watch_time = millis{30000};
    }
    fleet.run_for(millis{2000});
    for (int i = 0; i < 100; ++i) {
        fleet.run_for(millis{100});
        REQUIRE(fleet.ready_hosts() == 7);
    }
}

TEST_CASE("without changes the store gets five calls a second from the coordinator and one in seven seconds from each host",
          "[session-fleet][evidence]") {
    // Each call to the store costs money. Hosts rely on the coordinator's evidence, so the number of calls hardly grows with the
    // fleet.
    const std::size_t hosts = GENERATE(7U, 28U);
    session_fleet fleet(fleet_options{.hosts = std::vector<data_centre_id>(hosts, "amman-a")});
    fleet.run_for(start_time);
    const auto before = fleet.store.calls;
    fleet.run_for(millis{20000});
    CHECK(fleet.store.calls - before <= 5 * 20 + hosts * 20 / 7);
    CHECK(fleet.ready_hosts() == hosts);
}

TEST_CASE("changes are applied even if the store has dropped their history", "[session-fleet][compaction]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    auto content = fleet.current_document();
    content.version = 9;
    content.routes.pop_back();
    fleet.store.compact();
    fleet.publish(content);
    fleet.store.compact();
    fleet.run_for(millis{2500});
    for (int i = 0; i < 7; ++i) {
        CHECK(fleet.host("host-" + std::to_string(i)).catalog.content->version == 9);
    }
}

TEST_CASE("hosts stop serving some time after the store has failed, and serve again once it answers", "[session-fleet][store]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.connect("host-2", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    fleet.store_is_down = true;
    CHECK(fleet.ask(session, write_statement("w0", "item", "0")).code == result_code::none);
    fleet.run_for(millis{3000});
    const auto refused = fleet.ask(session, write_statement("w1", "item", "1"));
    CHECK(refused.code == result_code::busy);
    fleet.store_is_down = false;
    CHECK(fleet.run_until([&] { return fleet.ready_hosts() == 7; }, millis{1500}));
    CHECK(fleet.ask(session, write_statement("w2", "item", "2")).code == result_code::none);
    CHECK_FALSE(holds_write(fleet.database(0).primary(), "w1"));
}

TEST_CASE("a workspace gets no more than its rate and burst over all hosts, and no less when it asks for less",
          "[session-fleet][rates]") {
    const bool over = GENERATE(true, false);
    session_fleet fleet(fleet_options{.rate_per_s = 60, .burst = 60, .service_time = millis{1}});
    fleet.run_for(millis{8000});
    std::vector<session_id> sessions;
    for (int i = 0; i < 14; ++i) {
        // The load is uneven: half of all sessions are at one host.
        const auto host = i % 2 == 0 ? std::string("host-0") : "host-" + std::to_string(i / 2);
        sessions.push_back(fleet.connect(host, session_fleet::route_name(0, consistency::bounded_staleness), "key-0"));
    }
    fleet.run_for(millis{50});
    fleet.database(0).runs.clear();
    const int interval_ms = over ? 40 : 350;
    std::size_t asked = 0;
    std::size_t refused = 0;
    for (int t = 0; t < 10000 / interval_ms; ++t) {
        for (const auto session : sessions) {
            fleet.send(session, read_statement("r" + std::to_string(asked++), "item"));
        }
        fleet.run_for(millis{interval_ms});
    }
    fleet.run_for(millis{2000});
    for (const auto session : sessions) {
        for (const auto& received : fleet.caller(session).answers) {
            refused += received.answer.code == result_code::busy ? 1 : 0;
        }
    }
    const auto& runs = fleet.database(0).runs;
    constexpr millis window{5000};
    constexpr std::size_t bound = 60 * 5 + 60;
    for (std::size_t first = 0, last = 0; last < runs.size(); ++last) {
        while (runs[last].at - runs[first].at > window) {
            ++first;
        }
        REQUIRE(last - first + 1 <= bound + bound / 10 + 20);
    }
    if (over) {
        CHECK(refused > asked / 3);
    } else {
        CHECK(refused * 100 <= asked);
    }
}

TEST_CASE("the metrics count calls to the store by collection and operation, and its answers", "[session-fleet][metrics]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto text = render_metrics(fleet.host("host-0"), fleet.now());
    CHECK_THAT(text, Catch::Contains("camphorstack_store_calls_total{collection=\"document\",operation=\"list\"} "));
    CHECK_THAT(text, Catch::Contains("camphorstack_store_answers_total{status=\"done\"} "));
}

// Guards against hosts that get a new document version too late if the coordinator fails, as only the coordinator watches the
// store.
TEST_CASE("a new document version is in force at all hosts within three seconds, even if the coordinator fails",
          "[session-fleet][evidence][document]") {
    const std::string coordinator_state =
        GENERATE(std::string("alive"), std::string("dies"), std::string("cut off"), std::string("watch unanswered"));
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto coordinator = fleet.host("host-0").catalog.coordinator->record.host.id;
    auto content = fleet.current_document();
    content.version = 9;
    fleet.publish(content);
    if (coordinator_state == "dies") {
        fleet.kill_host(coordinator);
    } else if (coordinator_state == "cut off") {
        fleet.isolate(coordinator);
    } else if (coordinator_state == "watch unanswered") {
        // The watch gets no answer during the test.
        watch_of(fleet.host(coordinator), collection::document).settings.watch_time = millis{30000};
    }
    CAPTURE(coordinator_state, coordinator);
    fleet.run_for(millis{3000});
    for (int i = 0; i < 7; ++i) {
        const auto id = "host-" + std::to_string(i);
        const bool must_have_version =
            coordinator_state == "alive" || coordinator_state == "watch unanswered" || id != coordinator;
        if (must_have_version) {
            INFO(id);
            CHECK(fleet.host(id).catalog.content->version == 9);
        }
    }
}

// Guards against a write that a former primary acknowledges in its old term. A former primary that has not learnt of its
// successor still reports that it leads; when it is promoted again, this report must not count as the promotion's success before
// the new term begins. Such a write was acknowledged once, in a random-fault run with 61 hosts, after another endpoint had taken
// over.
TEST_CASE("a former primary that is promoted again acknowledges nothing in its old term", "[session-fleet][former-primary]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    REQUIRE(time_to_write(fleet, "host-6", "before", millis{1000}) < millis{200});
    fleet.lagging = {"db0-0"};
    fleet.cut_from_hosts("db0-0");
    REQUIRE(time_to_write(fleet, "host-6", "second", millis{9000}) < millis{9000});
    const auto second = leader_of(fleet, "host-4", "db0").endpoint;
    REQUIRE(second != "db0-0");
    fleet.kill_instance("db0-1");
    fleet.kill_instance("db0-2");
    fleet.heal();
    const auto session = fleet.connect("host-4", session_fleet::route_name(0, consistency::primary), "key-0");
    fleet.run_for(millis{20});
    std::optional<instant> served;
    for (int i = 0; i < 200 && !served; ++i) {
        const auto answer = fleet.ask(session, write_statement("w" + std::to_string(i), "item", "x"));
        if (answer.code == result_code::none) {
            CAPTURE(second, i);
            REQUIRE(answer.position);
            CHECK(answer.position->term > 2);
            served = fleet.now();
        }
        fleet.run_for(millis{10});
    }
    CHECK(served);
}
