#include <algorithm>
#include <catch2/catch.hpp>

#include "links/raw_client.hpp"
#include "platform/object_store.hpp"
#include "platform/platform_fixture.hpp"
#include "platform/store_link.hpp"

using namespace camphorstack;
using namespace camphorstack::platform_tests;
using camphorstack::tests::run_for;
using camphorstack::tests::run_until;

TEST_CASE("a caller's statements pass through real sockets to an instance and back", "[platform][path]") {
    platform_fixture system;
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    caller.send("QUERY q1 WRITE item value\r\n");
    REQUIRE(caller.wait_for("DONE proof-q1\r\nREADY I 1.1\r\n"));
    caller.send("QUERY q2 READ item\r\n");
    REQUIRE(caller.wait_for("ROW value\r\nDONE proof-q2\r\n"));
    // Pipelined statements are answered in order.
    caller.send("QUERY q3 PREPARE s READ shape\r\nQUERY q4 EXECUTE s item\r\nQUERY q5 BEGIN\r\nQUERY q6 COMMIT\r\n");
    REQUIRE(caller.wait_for(
        "DONE -\r\nREADY I -\r\nROW value\r\nDONE proof-q4\r\nREADY I 1.1\r\nDONE -\r\nREADY T -\r\nDONE proof-q6\r\n"));
    caller.send("QUERY q7 STATUS\r\n");
    REQUIRE(caller.wait_for("ERROR MALFORMED"));
    for (const auto& line : system.primary.lines) {
        CHECK(line.find("first-key") == std::string::npos);
    }
    CHECK(system.primary.lines.front() == "START db counters db-0");
    CHECK(system.monitoring.metrics().find("camphorstack_operations_total{workspace=\"counters\",outcome=\"done\"}") !=
          std::string::npos);
}

TEST_CASE("a caller that violates the protocol gets an error and is disconnected, other callers are served", "[platform][path]") {
    platform_fixture system;
    raw_client valid(system.callers);
    valid.send("START books first-key\r\n");
    REQUIRE(valid.wait_for("READY I -\r\n"));
    raw_client http_client(system.callers);
    http_client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(http_client.wait_for("ERROR MALFORMED"));
    raw_client wrong_key(system.callers);
    wrong_key.send("START books wrong-key\r\n");
    CHECK(wrong_key.wait_for("ERROR NOAUTH"));
    raw_client unknown_database(system.callers);
    unknown_database.send("START nowhere first-key\r\n");
    CHECK(unknown_database.wait_for("ERROR NODB"));
    raw_client oversized(system.callers);
    oversized.send("START books first-key\r\n");
    REQUIRE(oversized.wait_for("READY I -\r\n"));
    oversized.send("QUERY q WRITE item " + std::string(std::size_t{1200} * 1024, 'x'));
    CHECK(oversized.wait_for("ERROR TOOLARGE"));
    raw_client slow(system.callers);
    for (const auto* part : {"STA", "RT bo", "oks first-", "key\r", "\nQUE", "RY q READ item\r\n"}) {
        slow.send(part);
        run_for(millis{20});
    }
    CHECK(slow.wait_for("ROW none\r\n"));
    valid.send("QUERY q READ item\r\n");
    CHECK(valid.wait_for("ROW none\r\n"));
}

TEST_CASE("after a lost reply a write is reported as in doubt and a later read is served", "[platform][path]") {
    platform_fixture system;
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    system.primary.drops_replies = true;
    caller.send("QUERY q1 WRITE item value\r\n");
    REQUIRE(caller.wait_for("ERROR INDOUBT"));
    system.primary.drops_replies = false;
    caller.send("QUERY q2 READ item\r\n");
    CHECK(caller.wait_for("ROW value\r\n"));
    CHECK(std::ranges::count(system.primary.lines, "QUERY q1 WRITE item value") == 1);
}

TEST_CASE("a withdrawn key is refused on an open connection", "[platform][path]") {
    platform_fixture system;
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    system.publish("second-key");
    run_for(millis{300});
    caller.send("QUERY q1 READ item\r\n");
    CHECK(caller.wait_for("ERROR NOAUTH"));
    CHECK(std::ranges::count(system.primary.lines, "QUERY q1 READ item") == 0);
}

TEST_CASE("a stopping host answers open statements, closes idle sessions and stops", "[platform][path]") {
    platform_fixture system;
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    system.task->request_stop();
    CHECK_FALSE(system.monitoring.is_ready());
    caller.send("QUERY q1 READ item\r\n");
    CHECK(caller.wait_for("ROW none\r\n"));
    CHECK(run_until([&] { return system.stopped; }));
    CHECK(caller.wait_closed());
}

TEST_CASE("a stopping host refuses statements that were sent ahead in a session that it closes", "[platform][path][stop]") {
    platform_fixture system;
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    caller.send("QUERY q1 BEGIN\r\n");
    REQUIRE(caller.wait_for("READY T -\r\n"));
    system.task->request_stop();
    run_for(millis{1700});
    caller.send("QUERY q2 COMMIT\r\nQUERY q3 READ item\r\nQUERY q4 READ item\r\n");
    CHECK(caller.wait_for("ERROR BUSY the session was closed before the statement ran\r\nREADY I -\r\nERROR BUSY"));
    CHECK(caller.wait_closed());
}

TEST_CASE("the store link distinguishes unanswered calls from refused calls", "[platform][store-link]") {
    object_store store;
    std::vector<catalog_answer> answers;
    std::vector<promotion_answer> promoted;
    std::vector<usage_answer> reported;
    platform::store_link link(store.address(), store.address(), millis{200}, [&](session_host_event event) {
        if (const auto* answer = std::get_if<catalog_answer>(&event)) {
            answers.push_back(*answer);
        } else if (const auto* promotion = std::get_if<promotion_answer>(&event)) {
            promoted.push_back(*promotion);
        } else if (const auto* usage = std::get_if<usage_answer>(&event)) {
            reported.push_back(*usage);
        }
    });
    const catalog_call list{1, collection::endpoints, catalog_operation::list, "", 0, millis{0}, ""};
    const auto ask = [&](const catalog_call& call) {
        answers.clear();
        link.carry_out(call);
        REQUIRE(run_until([&] { return !answers.empty(); }));
        return answers.front();
    };
    SECTION("answers") {
        CHECK(ask(list).status == catalog_status::done);
        catalog_call create{2, collection::fleet, catalog_operation::create, "members", 0, millis{0}, "{\"epoch\":1}"};
        CHECK(ask(create).status == catalog_status::done);
        CHECK(ask(create).status == catalog_status::conflict);
        const catalog_call watch{3, collection::fleet, catalog_operation::watch, "", 1, millis{1000}, ""};
        CHECK(ask(watch).items.size() == 1);
        store.history_gone = true;
        CHECK(ask(watch).status == catalog_status::history_gone);
    }
    SECTION("refusals and invalid bodies") {
        store.forced_status = 503;
        CHECK(ask(list).status == catalog_status::refused);
        store.forced_status = 429;
        CHECK(ask(list).status == catalog_status::refused);
        store.forced_status = 0;
        store.invalid_body = "not json";
        CHECK(ask(list).status == catalog_status::no_answer);
    }
    SECTION("no answer") {
        store.is_silent = true;
        CHECK(ask(list).status == catalog_status::no_answer);
    }
    SECTION("usage report") {
        const auto status_of = [&](unsigned status) {
            store.forced_status = status;
            reported.clear();
            usage_call call;
            call.id = 11;
            call.usage.window = 353445120;
            call.usage.counts = {{"dewu331", 7}, {"miny420", 412}};
            call.holder = "front-1";
            call.fence = 12;
            link.carry_out(call);
            REQUIRE(run_until([&] { return !reported.empty(); }));
            CHECK(reported.front().id == 11);
            return reported.front().status;
        };
        CHECK(status_of(0) == usage_status::accepted);
        CHECK(store.usages ==
              std::vector<std::string>{R"(front-1 12 {"Window":353445120,"Counts":{"dewu331":7,"miny420":412}})"});
        CHECK(status_of(429) == usage_status::not_done);
        CHECK(status_of(503) == usage_status::not_done);
        CHECK(status_of(409) == usage_status::refused);
        store.is_silent = true;
        CHECK(status_of(0) == usage_status::no_answer);
    }
    SECTION("one object") {
        const catalog_call get{3, collection::usage, catalog_operation::get, "sent", 0, millis{0}, ""};
        CHECK(ask(get).status == catalog_status::missing);
        store.put("usage", "sent", R"({"window":3,"counts":[]})");
        const auto found = ask(get);
        REQUIRE(found.status == catalog_status::done);
        REQUIRE(found.items.size() == 1);
        CHECK(found.items.front().revision > 0);
        CHECK(found.items.front().content == catalog_content(fleet_item{R"({"window":3,"counts":[]})"}));
    }
    SECTION("promotion") {
        link.carry_out(promotion_call{9, "db", "i-1", "front-1", 4});
        REQUIRE(run_until([&] { return !promoted.empty(); }));
        CHECK(promoted.front() == promotion_answer{9, promotion_status::accepted});
        CHECK(store.promotions == std::vector<std::string>{R"(front-1 4 {"Service":"db","Id":"i-1"})"});
        store.forced_status = 409;
        promoted.clear();
        link.carry_out(promotion_call{10, "db", "i-1", "front-1", 4});
        REQUIRE(run_until([&] { return !promoted.empty(); }));
        CHECK(promoted.front().status == promotion_status::refused);
    }
}

// Guards against a host that tries one silent connection after the other and so misses changes of the store for seconds.
TEST_CASE("after a call without an answer the store is asked on a new connection", "[platform][store-link]") {
    object_store store;
    std::map<std::uint64_t, catalog_answer> answers;
    platform::store_link link(store.address(), store.address(), millis{5000}, [&](session_host_event event) {
        if (const auto* answer = std::get_if<catalog_answer>(&event)) {
            answers[answer->id] = *answer;
        }
    });
    catalog_call list{1, collection::endpoints, catalog_operation::list, "", 0, millis{0}, "", {}, millis{200}};
    constexpr std::uint64_t connections = 4;
    for (list.id = 1; list.id <= connections; ++list.id) {
        link.carry_out(list);
    }
    REQUIRE(run_until([&] { return answers.size() == connections; }));
    store.silence_open_connections();
    list.id = 10;
    link.carry_out(list);
    REQUIRE(run_until([&] { return answers.contains(10); }));
    CHECK(answers.at(10).status == catalog_status::no_answer);
    list.id = 11;
    link.carry_out(list);
    REQUIRE(run_until([&] { return answers.contains(11); }));
    CHECK(answers.at(11).status == catalog_status::done);
}

// Guards against hosts that take no change of any endpoint any more, or never become ready, because of one entry of another
// writer (review/3).
TEST_CASE("entries of other writers change nothing for callers, for running hosts and for starting ones", "[platform][path]") {
    const std::string deep = std::string(70, '[') + std::string(70, ']');
    const auto odd = GENERATE_COPY(std::string(R"({"Version":"\udcff"})"), std::string("{\"Version\":\"\xff\"}"),
                                   R"({"Service":"db","Version":)" + deep + "}", std::string(R"({"Slots":99999999999999999999})"),
                                   std::string(R"({"Service":"db","Address":"127.0.0.1:70000","Zone":"amman-a","Version":"v1",)"
                                               R"("Slots":2,"State":"ready","ColdRemainingMs":0,"Sequence":1,)"
                                               R"("DatabaseRole":"primary"})"));
    CAPTURE(odd);
    platform_fixture system;
    system.store.put("servers", "a-odd", odd);
    system.store.put("servers", "z-odd", odd);
    run_for(millis{1500});
    // The running host goes on following the endpoints.
    system.store.remove("servers", "db-1");
    run_for(millis{3000});
    CHECK(system.monitoring.metrics().find("endpoint=\"db-1\"") == std::string::npos);
    CHECK(system.monitoring.metrics().find("odd") == std::string::npos);
    CHECK(system.monitoring.is_ready());
    system.restart();
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    caller.send("QUERY q1 WRITE item value\r\n");
    CHECK(caller.wait_for("DONE proof-q1\r\n"));
}

// Guards against a fleet that cannot start because of a large number in the document (review/5).
TEST_CASE("a document with a large number takes effect, also for a starting host", "[platform][path]") {
    platform_fixture system;
    system.staleness = GENERATE(std::string("2592000000"), std::string("99999999999999999999"), std::string("1e300"));
    raw_client caller(system.callers);
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    system.publish("second-key");
    run_for(millis{300});
    caller.send("QUERY q1 READ item\r\n");
    CHECK(caller.wait_for("ERROR NOAUTH"));
    system.restart();
    raw_client other(system.callers);
    other.send("START books second-key\r\n");
    REQUIRE(other.wait_for("READY I -\r\n"));
    other.send("QUERY q2 READ item\r\n");
    CHECK(other.wait_for("ROW none\r\n"));
}
