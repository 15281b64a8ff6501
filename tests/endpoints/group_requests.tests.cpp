#include <catch2/catch.hpp>

#include "camphorstack/endpoints/pool.hpp"
#include "endpoints/group_bench.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

database_request make(request_kind kind, const std::string& statement, const std::string& transaction = "") {
    database_request request;
    request.kind = kind;
    request.statement = statement;
    request.transaction = transaction;
    return request;
}

bool is(const database_reply& reply, request_outcome outcome, refusal reason) {
    return reply.outcome == outcome && reply.reason == reason;
}

std::size_t count_open(const group_bench& bench, std::size_t index) {
    return group_endpoints(bench.hosts[0].state)[index].open_connections;
}

}  // namespace

TEST_CASE("a group that never had a primary gets one and runs requests", "[group]") {
    group_bench bench({});
    const auto written = bench.call(0, make(request_kind::write, "PUT a 1"));
    CHECK(written.outcome == request_outcome::done);
    CHECK(written.body == "1");
    CHECK(bench.now < instant{2000});
    auto read = make(request_kind::read, "GET a");
    read.session = written.session;
    const auto found = bench.call(0, read);
    CHECK(found.body == "1");
    CHECK(found.served_by != written.served_by);
}

TEST_CASE("reads with an age bound use a replica only inside the bound", "[group]") {
    bench_options options;
    options.replication_lag = 400;
    group_bench bench(options);
    const auto written = bench.call(0, make(request_kind::write, "PUT a 1"));
    REQUIRE(written.outcome == request_outcome::done);
    for (int count = 0; count < 100; ++count) {
        bench.run(7_ms);
        auto read = make(request_kind::read, "GET a");
        read.max_age = 50_ms;
        const auto from_primary = bench.call(0, read);
        if (from_primary.served_by != written.served_by) {
            const auto index = static_cast<std::size_t>(from_primary.served_by.back() - '0');
            CHECK(bench.now - bench.instances[index].model.caught_up <= 60_ms);
        }
        read.max_age = 5000_ms;
        CHECK(bench.call(0, read).served_by != written.served_by);
    }
}

TEST_CASE("a refused statement did not run and is not sent again", "[group][not-run-is-true]") {
    group_bench bench({});
    const auto reply = bench.call(0, make(request_kind::write, "DROP a"));
    CHECK(is(reply, request_outcome::not_run, refusal::statement_refused));
    CHECK(is(bench.call(0, make(request_kind::read, "PUT a 1")), request_outcome::not_run, refusal::statement_refused));
}

TEST_CASE("a deadline that passes in the queue is not run, one that passes after sending is unknown",
          "[group][not-run-is-true]") {
    group_bench bench({});
    bench.run(500_ms);
    auto write = make(request_kind::write, "PUT a 1");
    write.time_left = 200_ms;
    bench.instances[bench.primary()].frozen = true;
    const auto start = bench.now;
    CHECK(is(bench.call(0, write), request_outcome::unknown, refusal::deadline));
    CHECK(bench.now - start <= 215_ms);
    for (auto& instance : bench.instances) {
        instance.frozen = true;
    }
    bench.run(500_ms);
    CHECK(is(bench.call(0, write), request_outcome::not_run, refusal::deadline));
}

TEST_CASE("a write waits unsent while no majority could confirm it", "[group][not-run-is-true]") {
    group_bench bench({});
    bench.run(500_ms);
    bench.kill((bench.primary() + 1) % 3);
    bench.kill((bench.primary() + 2) % 3);
    bench.run(500_ms);
    auto write = make(request_kind::write, "PUT a 1");
    write.time_left = 200_ms;
    CHECK(is(bench.call(0, write), request_outcome::not_run, refusal::deadline));
    bench.heal((bench.primary() + 1) % 3);
    CHECK(bench.call(0, write).outcome == request_outcome::done);
}

TEST_CASE("one workspace can fill only its own part of the queue", "[group][fair-share]") {
    group_bench bench({});
    for (auto& instance : bench.instances) {
        instance.frozen = true;
    }
    for (int count = 0; count < 300; ++count) {
        bench.submit(0, make(request_kind::write, "PUT a 1"));
    }
    bench.run(5_ms);
    CHECK(bench.replies.size() == 300 - group_settings{}.queue_limit);
    for (const auto& [id, replies] : bench.replies) {
        CHECK(is(replies.front().reply, request_outcome::not_run, refusal::queue_full));
    }
    CHECK(group_in_flight(bench.hosts[0].state) == group_settings{}.queue_limit);
}

TEST_CASE("connections and running statements stay inside an instance's limits", "[group]") {
    group_bench bench({});
    bench.run(500_ms);
    std::size_t most_connections = 0;
    std::size_t most_running = 0;
    bench.each_ms = [&] {
        for (const auto& [id, instance] : bench.hosts[0].state.instances) {
            const auto load = load_of(bench.hosts[0].state, id, bench.now);
            most_connections = std::max(most_connections, load.connections);
            most_running = std::max(most_running, load.running);
        }
    };
    for (int count = 0; count < 200; ++count) {
        bench.submit(0, make(request_kind::write, "PUT a 1"));
        bench.submit(0, make(request_kind::begin, ""));
        for (int reads = 0; reads < 4; ++reads) {
            bench.submit(0, make(request_kind::read, "GET a"));
        }
        bench.run(1_ms);
    }
    CHECK(most_connections <= 7);
    CHECK(most_connections >= 4);
    CHECK(most_running == 4);
}

TEST_CASE("connections that went silent while idle do not delay a write", "[group]") {
    group_bench bench({});
    REQUIRE(bench.call(0, make(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    for (auto& [id, link] : bench.hosts[0].links) {
        link.silent = true;
    }
    bench.run(1500_ms);
    const auto start = bench.now;
    CHECK(bench.call(0, make(request_kind::write, "PUT a 2")).outcome == request_outcome::done);
    CHECK(bench.now - start < 100_ms);
}

TEST_CASE("a read moves to a fresh connection when its own goes silent", "[group]") {
    group_bench bench({});
    REQUIRE(bench.call(0, make(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    bench.run(500_ms);
    for (auto& [id, link] : bench.hosts[0].links) {
        link.silent = !bench.hosts[0].state.connections.contains(id) || !bench.hosts[0].state.connections.at(id).control;
    }
    auto read = make(request_kind::read, "GET a");
    read.time_left = 1000_ms;
    CHECK(bench.call(0, read).outcome == request_outcome::done);
}

TEST_CASE("a write with an idempotency key is sent again after its primary is lost and runs once", "[group][at-most-once]") {
    for (std::int64_t wait = 0; wait < 12; ++wait) {
        group_bench bench({});
        bench.run(500_ms);
        auto write = make(request_kind::write, "ADD a 1");
        write.idempotency_key = "key";
        const auto id = bench.submit(0, write);
        bench.run(millis{wait});
        bench.kill(bench.primary());
        bench.run(2_s);
        REQUIRE(bench.replies.contains(id));
        CHECK(bench.replies.at(id).front().reply.outcome == request_outcome::done);
        CHECK(bench.instances[bench.primary()].model.values.at("a") == "1");
    }
}

TEST_CASE("a transaction runs on one connection and is acknowledged by a majority", "[group][transaction-isolation]") {
    group_bench bench({});
    const auto begun = bench.call(0, make(request_kind::begin, ""));
    REQUIRE(begun.outcome == request_outcome::done);
    REQUIRE_FALSE(begun.transaction.empty());
    CHECK(group_in_flight(bench.hosts[0].state) == 1);
    CHECK(bench.call(0, make(request_kind::statement, "PUT a 1", begun.transaction)).body == "1");
    CHECK(bench.call(0, make(request_kind::statement, "GET a", begun.transaction)).body == "1");
    CHECK(bench.call(0, make(request_kind::read, "GET a")).body.empty());

    SECTION("commit") {
        const auto committed = bench.call(0, make(request_kind::commit, "", begun.transaction));
        CHECK(committed.outcome == request_outcome::done);
        auto read = make(request_kind::read, "GET a");
        read.session = committed.session;
        CHECK(bench.call(0, read).body == "1");
        CHECK(group_in_flight(bench.hosts[0].state) == 0);
    }
    SECTION("rollback") {
        CHECK(bench.call(0, make(request_kind::rollback, "", begun.transaction)).outcome == request_outcome::done);
        CHECK(group_in_flight(bench.hosts[0].state) == 0);
    }
    SECTION("another workspace may not use it") {
        auto foreign = make(request_kind::statement, "GET a", begun.transaction);
        foreign.workspace = "other";
        CHECK(is(bench.call(0, foreign), request_outcome::not_run, refusal::bad_token));
    }
    SECTION("its lifetime is limited") {
        bench.run(5100_ms);
        CHECK(is(bench.call(0, make(request_kind::commit, "", begun.transaction)), request_outcome::not_run,
                 refusal::transaction_lost));
        CHECK(bench.instances[bench.primary()].model.transactions.empty());
    }
    SECTION("it is lost with its connection") {
        bench.kill(bench.primary());
        bench.run(100_ms);
        CHECK(is(bench.call(0, make(request_kind::statement, "GET a", begun.transaction)), request_outcome::not_run,
                 refusal::transaction_lost));
    }
    SECTION("a commit that was sent is unknown when its connection is lost") {
        const auto id = bench.submit(0, make(request_kind::commit, "", begun.transaction));
        bench.run(1_ms);
        bench.kill(bench.primary());
        bench.run(2_s);
        CHECK(is(bench.replies.at(id).front().reply, request_outcome::unknown, refusal::connection_lost));
    }
}

TEST_CASE("a standby keeps one connection to each instance and takes over with its reserved term", "[group]") {
    group_bench bench({});
    bench.run(500_ms);
    bench.set_duty(0, group_duty::standby);
    bench.run(2_s);
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK(count_open(bench, index) == 1);
    }
    bench.platform_up = false;
    bench.kill(bench.primary());
    bench.run(1_s);
    bench.set_duty(0, group_duty::owner);
    const auto start = bench.now;
    CHECK(bench.call(0, make(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    CHECK(bench.now - start < 300_ms);
}

TEST_CASE("a host without a duty opens connections on demand and closes them afterwards", "[group]") {
    group_bench bench({});
    bench.run(500_ms);
    bench.set_duty(0, group_duty::none);
    bench.run(3_s);
    CHECK(count_open(bench, 0) + count_open(bench, 1) + count_open(bench, 2) == 0);
    CHECK(bench.call(0, make(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    CHECK(bench.call(0, make(request_kind::read, "GET a")).outcome == request_outcome::done);
}
