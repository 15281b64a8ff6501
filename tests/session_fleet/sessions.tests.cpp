#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};

statement set_statement(const std::string& id, const std::string& name, const std::string& value) {
    auto requested = plain_statement(id, statement_kind::set_value, "");
    requested.name = name;
    requested.argument = value;
    return requested;
}

statement prepare_statement(const std::string& id, const std::string& name, const std::string& shape, bool writes) {
    auto requested = plain_statement(id, statement_kind::prepare, "");
    requested.name = name;
    requested.argument = shape;
    requested.writes = writes;
    return requested;
}

statement execute_statement(const std::string& id, const std::string& name, const std::string& argument) {
    auto requested = plain_statement(id, statement_kind::execute, "");
    requested.name = name;
    requested.argument = argument;
    return requested;
}

}  // namespace

TEST_CASE("a fleet whose hosts start at the same time serves writes and reads on every route", "[session-fleet][start]") {
    // Guards against a fleet that cannot establish a coordinator, a member list and leaders from an empty store.
    session_fleet fleet;
    fleet.run_for(start_time);
    CHECK(fleet.ready_hosts() == 7);
    for (std::size_t database = 0; database < 3; ++database) {
        const auto writer = fleet.connect("host-0", session_fleet::route_name(database, consistency::primary), "key-1");
        const auto written = fleet.ask(writer, write_statement("w" + std::to_string(database), "book", "serial"));
        CHECK(written.code == result_code::none);
        CHECK(written.proof == "proof-w" + std::to_string(database));
        for (const auto kind : {consistency::primary, consistency::bounded_staleness, consistency::read_your_writes}) {
            const auto reader = fleet.connect("host-5", session_fleet::route_name(database, kind), "key-2");
            CHECK(fleet.ask(reader, read_statement("r", "book")).code == result_code::none);
        }
    }
}

TEST_CASE("a session reads its own write at once, whichever replica is nearest", "[session-fleet][read-your-writes]") {
    // Guards against a read at a replica that has not received the session's last write.
    session_fleet fleet;
    fleet.run_for(start_time);
    fleet.lagging = {"db0-1", "db0-2"};
    const auto session = fleet.open_session("host-3", consistency::read_your_writes);
    for (int i = 0; i < 20; ++i) {
        const auto value = "v" + std::to_string(i);
        REQUIRE(fleet.ask(session, write_statement("w" + value, "item", value)).code == result_code::none);
        fleet.run_for(millis{i * 10});
        const auto read = fleet.ask(session, read_statement("r" + value, "item"));
        REQUIRE(read.code == result_code::none);
        REQUIRE(read.rows == std::vector<std::string>{value});
    }
}

TEST_CASE("a primary route returns every acknowledged write, a bounded one those older than its bound",
          "[session-fleet][staleness]") {
    // Guards against stale reads while replication has stopped.
    session_fleet fleet;
    fleet.run_for(start_time);
    fleet.lagging = {"db0-1", "db0-2"};
    const auto writer = fleet.open_session("host-0", consistency::primary);
    const auto exact = fleet.open_session("host-6", consistency::primary);
    const auto bounded = fleet.open_session("host-6", consistency::bounded_staleness);
    for (int i = 0; i < 10; ++i) {
        const auto value = "v" + std::to_string(i);
        REQUIRE(fleet.ask(writer, write_statement("w" + value, "item", value)).code == result_code::none);
        CHECK(fleet.ask(exact, read_statement("e" + value, "item")).rows == std::vector<std::string>{value});
        fleet.run_for(millis{1600});
        CHECK(fleet.ask(bounded, read_statement("b" + value, "item")).rows == std::vector<std::string>{value});
    }
}

TEST_CASE("reads are served by replicas while replication keeps up", "[session-fleet][replicas]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-5", consistency::bounded_staleness);
    fleet.ask(session, read_statement("first", "item"));
    fleet.run_for(millis{700});
    fleet.database(0).runs.clear();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(fleet.ask(session, read_statement("r" + std::to_string(i), "item")).code == result_code::none);
    }
    for (const auto& run : fleet.database(0).runs) {
        CHECK(run.endpoint == "db0-2");
    }
}

TEST_CASE("a transaction runs on one connection and takes effect once or not at all", "[session-fleet][transactions]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-4", consistency::primary);
    const auto other = fleet.open_session("host-4", consistency::primary, 1);
    const auto begin = plain_statement("b", statement_kind::begin, "BEGIN");
    SECTION("commit") {
        CHECK(fleet.ask(session, begin).state == session_state::in_transaction);
        CHECK(fleet.ask(session, write_statement("w1", "a", "1")).state == session_state::in_transaction);
        CHECK(fleet.ask(other, read_statement("r0", "a")).rows == std::vector<std::string>{"none"});
        CHECK(fleet.ask(session, write_statement("w2", "b", "2")).state == session_state::in_transaction);
        const auto committed = fleet.ask(session, plain_statement("c", statement_kind::commit, "COMMIT"));
        CHECK(committed.code == result_code::none);
        CHECK(committed.proof == "proof-c");
        CHECK(committed.state == session_state::idle);
        CHECK(fleet.ask(other, read_statement("r1", "b")).rows == std::vector<std::string>{"2"});
    }
    SECTION("a commit without a statement is answered by the endpoint") {
        fleet.ask(session, begin);
        CHECK(fleet.ask(session, plain_statement("c", statement_kind::commit, "COMMIT")).proof == "proof-c");
    }
    SECTION("rollback") {
        fleet.ask(session, begin);
        fleet.ask(session, write_statement("w1", "a", "1"));
        CHECK(fleet.ask(session, plain_statement("x", statement_kind::rollback, "ROLLBACK")).state == session_state::idle);
        CHECK(fleet.ask(other, read_statement("r1", "a")).rows == std::vector<std::string>{"none"});
    }
    SECTION("the caller disconnects") {
        fleet.ask(session, begin);
        fleet.ask(session, write_statement("w1", "a", "1"));
        static_cast<void>(step(fleet.host("host-4"), session_ended{session}, fleet.now()));
        fleet.run_for(millis{100});
        CHECK(fleet.ask(other, read_statement("r1", "a")).rows == std::vector<std::string>{"none"});
    }
    SECTION("a failed statement fails the transaction until it is ended") {
        fleet.ask(session, plain_statement("b", statement_kind::begin_read_only, "BEGIN READ"));
        CHECK(fleet.ask(session, write_statement("w1", "a", "1")).code != result_code::none);
        CHECK(fleet.ask(session, read_statement("r", "a")).code == result_code::malformed);
        const auto ended = fleet.ask(session, plain_statement("c", statement_kind::commit, "COMMIT"));
        CHECK(ended.code == result_code::aborted);
        CHECK(ended.state == session_state::idle);
    }
}

TEST_CASE("a lost commit is in doubt only if its transaction could write, and always ends it", "[session-fleet][transactions]") {
    // Guards against a read-only commit that is reported as in doubt, so that its caller cannot repeat it, and against other lost
    // commits that leave the session in a failed state.
    session_fleet fleet;
    fleet.run_for(start_time);
    const bool read_only = GENERATE(true, false);
    const bool lost_before = GENERATE(true, false);
    const auto session = fleet.open_session("host-5", consistency::bounded_staleness);
    fleet.ask(session, read_statement("first", "item"));
    fleet.run_for(millis{700});
    fleet.ask(session, plain_statement("b", read_only ? statement_kind::begin_read_only : statement_kind::begin, ""));
    REQUIRE(fleet.ask(session, read_statement("r", "item")).state == session_state::in_transaction);
    const auto endpoint = fleet.database(0).runs.back().endpoint;
    CHECK(endpoint == (read_only ? "db0-2" : "db0-0"));
    if (lost_before) {
        fleet.kill_instance(endpoint);
        fleet.run_for(millis{20});
    }
    fleet.send(session, plain_statement("c", statement_kind::commit, "COMMIT"));
    // Waits until the endpoint runs the commit; this takes longer at the primary, whose owner is in another region.
    fleet.run_for(millis{read_only ? 5 : 13});
    if (!lost_before) {
        fleet.kill_instance(endpoint);
    }
    REQUIRE(fleet.run_until([&] { return fleet.caller(session).order.empty(); }, millis{3000}));
    const auto& answer = fleet.caller(session).answers.back().answer;
    CHECK(answer.code == (read_only || lost_before ? result_code::aborted : result_code::in_doubt));
    CHECK(answer.state == session_state::idle);
}

TEST_CASE("session values and prepared statements follow their session over shared connections", "[session-fleet][values]") {
    // Guards against session values that apply to another session's statements on the same connection.
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto first = fleet.open_session("host-0", consistency::primary);
    const auto second = fleet.open_session("host-0", consistency::primary);
    CHECK(fleet.ask(first, set_statement("s1", "zone", "north")).code == result_code::none);
    CHECK(fleet.ask(first, prepare_statement("p1", "q", "write-shape", true)).code == result_code::none);
    CHECK(fleet.ask(second, prepare_statement("p2", "q", "read-shape", false)).code == result_code::none);
    for (int i = 0; i < 5; ++i) {
        const auto n = std::to_string(i);
        CHECK(fleet.ask(first, execute_statement("f" + n, "q", "item v" + n)).code == result_code::none);
        CHECK(fleet.ask(second, execute_statement("g" + n, "q", "item")).rows == std::vector<std::string>{"v" + n});
        CHECK(fleet.ask(second, read_statement("h" + n, "item")).code == result_code::none);
    }
    for (const auto& run : fleet.database(0).runs) {
        const bool from_first = run.statement_id.starts_with("f");
        CHECK(run.values ==
              (from_first ? std::map<std::string, std::string>{{"zone", "north"}} : std::map<std::string, std::string>{}));
        CHECK(run.writes == from_first);
    }
    CHECK(fleet.ask(first, execute_statement("x", "unknown", "item")).code == result_code::no_statement);
}

TEST_CASE("a session needs a route and, unless the route is open, a key in force", "[session-fleet][keys]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto nowhere = fleet.connect("host-0", "no-such-database", "key-0");
    const auto stranger = fleet.connect("host-0", session_fleet::route_name(0, consistency::primary), "not-a-key");
    fleet.run_for(millis{50});
    CHECK(fleet.caller(nowhere).rejected == result_code::no_database);
    CHECK(fleet.caller(stranger).rejected == result_code::not_authorized);
    auto content = fleet.current_document();
    content.version = 2;
    content.routes[0].sessions.needs_key = false;
    fleet.publish(content);
    fleet.run_for(millis{100});
    const auto anyone = fleet.connect("host-0", session_fleet::route_name(0, consistency::primary), "not-a-key");
    CHECK(fleet.ask(anyone, read_statement("r", "item")).code == result_code::none);
    CHECK(fleet.database(0).runs.back().workspace.empty());
}

TEST_CASE("a withdrawn key stops working on open sessions, also in a transaction and at a host without the store",
          "[session-fleet][keys]") {
    // Guards against a host without the store that keeps using an old document, which still contains the key.
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto near = fleet.open_session("host-0", consistency::primary, 3);
    const auto cut_off = fleet.open_session("host-1", consistency::bounded_staleness, 3);
    fleet.ask(near, plain_statement("b", statement_kind::begin, "BEGIN"));
    REQUIRE(fleet.ask(near, read_statement("r0", "item")).code == result_code::none);
    REQUIRE(fleet.ask(cut_off, read_statement("r1", "item")).code == result_code::none);
    fleet.cut("host-1", "store");
    auto content = fleet.current_document();
    content.version = 2;
    content.workspaces[3].keys.clear();
    fleet.publish(content);
    fleet.run_for(millis{200});
    CHECK(fleet.ask(near, read_statement("r2", "item")).code == result_code::aborted);
    fleet.run_for(millis{4500});
    CHECK(fleet.ask(cut_off, read_statement("r3", "item")).code != result_code::none);
    const auto again = fleet.connect("host-0", session_fleet::route_name(0, consistency::primary), "key-3");
    fleet.run_for(millis{50});
    CHECK(fleet.caller(again).rejected == result_code::not_authorized);
}

TEST_CASE("reads that a full primary refuses end within their time limit instead of being retried without end",
          "[session-fleet][overload]") {
    // Guards against an endless loop in one step: when the queue of a primary that the host owns was full, the run was refused at
    // once and submitted again.
    session_fleet fleet(fleet_options{.service_time = millis{100}});
    fleet.run_for(start_time);
    std::vector<session_id> sessions;
    for (int i = 0; i < 80; ++i) {
        sessions.push_back(fleet.open_session("host-" + std::to_string(i % 3), consistency::primary));
    }
    for (std::size_t i = 0; i < sessions.size(); ++i) {
        fleet.send(sessions[i], read_statement("r" + std::to_string(i), "item"));
    }
    REQUIRE(fleet.run_until(
        [&] { return std::ranges::all_of(sessions, [&](session_id id) { return !fleet.caller(id).answers.empty(); }); },
        millis{3000}));
    std::size_t busy = 0;
    for (const auto id : sessions) {
        const auto& received = fleet.caller(id).answers.front();
        if (received.answer.code == result_code::busy) {
            ++busy;
            CHECK(received.at - received.asked <= millis{300});
        }
    }
    CHECK(busy > 0);
    CHECK(busy < sessions.size());
}
