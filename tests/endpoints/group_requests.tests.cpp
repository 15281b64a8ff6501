#include <catch2/catch.hpp>

#include "camphorstack/endpoints/pool.hpp"
#include "endpoints/group_simulation.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

database_request make_request(request_kind kind, const std::string& statement, const std::string& transaction = "") {
    database_request request;
    request.kind = kind;
    request.statement = statement;
    request.transaction = transaction;
    return request;
}

bool has_outcome(const database_reply& reply, request_outcome outcome, refusal reason) {
    return reply.outcome == outcome && reply.reason == reason;
}

std::size_t count_open(const group_simulation& simulation, std::size_t index) {
    return group_endpoints(simulation.hosts[0].state)[index].open_connections;
}

}  // namespace

TEST_CASE("a group that never had a primary gets one and runs requests", "[group]") {
    group_simulation simulation({});
    const auto written = simulation.call(0, make_request(request_kind::write, "PUT a 1"));
    CHECK(written.outcome == request_outcome::done);
    CHECK(written.body == "1");
    CHECK(simulation.now < instant{2000});
    auto read = make_request(request_kind::read, "GET a");
    read.session = written.session;
    const auto found = simulation.call(0, read);
    CHECK(found.body == "1");
    CHECK(found.served_by != written.served_by);
}

TEST_CASE("reads with an age bound use a replica only inside the bound", "[group]") {
    simulation_options options;
    options.replication_lag = 400;
    group_simulation simulation(options);
    const auto written = simulation.call(0, make_request(request_kind::write, "PUT a 1"));
    REQUIRE(written.outcome == request_outcome::done);
    for (int count = 0; count < 100; ++count) {
        simulation.run(7_ms);
        auto read = make_request(request_kind::read, "GET a");
        read.max_age = 50_ms;
        const auto bounded_reply = simulation.call(0, read);
        if (bounded_reply.served_by != written.served_by) {
            const auto index = static_cast<std::size_t>(bounded_reply.served_by.back() - '0');
            CHECK(simulation.now - simulation.instances[index].model.last_caught_up <= 60_ms);
        }
        read.max_age = 5000_ms;
        CHECK(simulation.call(0, read).served_by != written.served_by);
    }
}

TEST_CASE("a refused statement did not run and is not sent again", "[group][not-run-is-true]") {
    group_simulation simulation({});
    const auto reply = simulation.call(0, make_request(request_kind::write, "DROP a"));
    CHECK(has_outcome(reply, request_outcome::not_run, refusal::statement_refused));
    CHECK(has_outcome(simulation.call(0, make_request(request_kind::read, "PUT a 1")), request_outcome::not_run,
                      refusal::statement_refused));
}

TEST_CASE("a deadline that passes in the queue is not run, one that passes after sending is unknown",
          "[group][not-run-is-true]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    auto write = make_request(request_kind::write, "PUT a 1");
    write.time_left = 200_ms;
    simulation.instances[simulation.primary()].frozen = true;
    const auto start = simulation.now;
    CHECK(has_outcome(simulation.call(0, write), request_outcome::unknown, refusal::deadline));
    CHECK(simulation.now - start <= 215_ms);
    for (auto& instance : simulation.instances) {
        instance.frozen = true;
    }
    simulation.run(500_ms);
    CHECK(has_outcome(simulation.call(0, write), request_outcome::not_run, refusal::deadline));
}

TEST_CASE("a write waits unsent while no majority could confirm it", "[group][not-run-is-true]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    simulation.kill((simulation.primary() + 1) % 3);
    simulation.kill((simulation.primary() + 2) % 3);
    simulation.run(500_ms);
    auto write = make_request(request_kind::write, "PUT a 1");
    write.time_left = 200_ms;
    CHECK(has_outcome(simulation.call(0, write), request_outcome::not_run, refusal::deadline));
    simulation.heal((simulation.primary() + 1) % 3);
    CHECK(simulation.call(0, write).outcome == request_outcome::done);
}

TEST_CASE("one workspace can fill only its own part of the queue", "[group][fair-share]") {
    group_simulation simulation({});
    for (auto& instance : simulation.instances) {
        instance.frozen = true;
    }
    for (int count = 0; count < 300; ++count) {
        simulation.submit(0, make_request(request_kind::write, "PUT a 1"));
    }
    simulation.run(5_ms);
    CHECK(simulation.replies.size() == 300 - group_settings{}.queue_limit);
    for (const auto& [id, replies] : simulation.replies) {
        CHECK(has_outcome(replies.front().reply, request_outcome::not_run, refusal::queue_full));
    }
    CHECK(group_in_flight(simulation.hosts[0].state) == group_settings{}.queue_limit);
}

TEST_CASE("connections and running statements stay inside an instance's limits", "[group]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    std::size_t most_connections = 0;
    std::size_t most_running = 0;
    simulation.each_ms = [&] {
        for (const auto& [id, instance] : simulation.hosts[0].state.instances) {
            const auto load = connection_load(simulation.hosts[0].state, id, simulation.now);
            most_connections = std::max(most_connections, load.connections);
            most_running = std::max(most_running, load.running);
        }
    };
    for (int count = 0; count < 200; ++count) {
        simulation.submit(0, make_request(request_kind::write, "PUT a 1"));
        simulation.submit(0, make_request(request_kind::begin, ""));
        for (int reads = 0; reads < 4; ++reads) {
            simulation.submit(0, make_request(request_kind::read, "GET a"));
        }
        simulation.run(1_ms);
    }
    CHECK(most_connections <= 7);
    CHECK(most_connections >= 4);
    CHECK(most_running == 4);
}

TEST_CASE("connections that went silent while idle do not delay a write", "[group]") {
    group_simulation simulation({});
    REQUIRE(simulation.call(0, make_request(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    for (auto& [id, link] : simulation.hosts[0].links) {
        link.silent = true;
    }
    simulation.run(1500_ms);
    const auto start = simulation.now;
    CHECK(simulation.call(0, make_request(request_kind::write, "PUT a 2")).outcome == request_outcome::done);
    CHECK(simulation.now - start < 100_ms);
}

TEST_CASE("a read moves to a fresh connection when its own goes silent", "[group]") {
    group_simulation simulation({});
    REQUIRE(simulation.call(0, make_request(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    simulation.run(500_ms);
    for (auto& [id, link] : simulation.hosts[0].links) {
        link.silent =
            !simulation.hosts[0].state.connections.contains(id) || !simulation.hosts[0].state.connections.at(id).control;
    }
    auto read = make_request(request_kind::read, "GET a");
    read.time_left = 1000_ms;
    CHECK(simulation.call(0, read).outcome == request_outcome::done);
}

TEST_CASE("a write with an idempotency key is sent again after its primary is lost and runs once", "[group][at-most-once]") {
    for (std::int64_t wait = 0; wait < 12; ++wait) {
        group_simulation simulation({});
        simulation.run(500_ms);
        auto write = make_request(request_kind::write, "ADD a 1");
        write.idempotency_key = "key";
        const auto id = simulation.submit(0, write);
        simulation.run(millis{wait});
        simulation.kill(simulation.primary());
        simulation.run(2_s);
        REQUIRE(simulation.replies.contains(id));
        CHECK(simulation.replies.at(id).front().reply.outcome == request_outcome::done);
        CHECK(simulation.instances[simulation.primary()].model.values.at("a") == "1");
    }
}

TEST_CASE("a transaction runs on one connection and is acknowledged by a majority", "[group][transaction-isolation]") {
    group_simulation simulation({});
    const auto begun = simulation.call(0, make_request(request_kind::begin, ""));
    REQUIRE(begun.outcome == request_outcome::done);
    REQUIRE_FALSE(begun.transaction.empty());
    CHECK(group_in_flight(simulation.hosts[0].state) == 1);
    CHECK(simulation.call(0, make_request(request_kind::statement, "PUT a 1", begun.transaction)).body == "1");
    CHECK(simulation.call(0, make_request(request_kind::statement, "GET a", begun.transaction)).body == "1");
    CHECK(simulation.call(0, make_request(request_kind::read, "GET a")).body.empty());

    SECTION("commit") {
        const auto committed = simulation.call(0, make_request(request_kind::commit, "", begun.transaction));
        CHECK(committed.outcome == request_outcome::done);
        auto read = make_request(request_kind::read, "GET a");
        read.session = committed.session;
        CHECK(simulation.call(0, read).body == "1");
        CHECK(group_in_flight(simulation.hosts[0].state) == 0);
    }
    SECTION("rollback") {
        CHECK(simulation.call(0, make_request(request_kind::rollback, "", begun.transaction)).outcome == request_outcome::done);
        CHECK(group_in_flight(simulation.hosts[0].state) == 0);
    }
    SECTION("another workspace may not use it") {
        auto other_workspace = make_request(request_kind::statement, "GET a", begun.transaction);
        other_workspace.workspace = "other";
        CHECK(has_outcome(simulation.call(0, other_workspace), request_outcome::not_run, refusal::bad_token));
    }
    SECTION("its lifetime is limited") {
        simulation.run(5100_ms);
        CHECK(has_outcome(simulation.call(0, make_request(request_kind::commit, "", begun.transaction)), request_outcome::not_run,
                          refusal::transaction_lost));
        CHECK(simulation.instances[simulation.primary()].model.transactions.empty());
    }
    SECTION("it is lost with its connection") {
        simulation.kill(simulation.primary());
        simulation.run(100_ms);
        CHECK(has_outcome(simulation.call(0, make_request(request_kind::statement, "GET a", begun.transaction)),
                          request_outcome::not_run, refusal::transaction_lost));
    }
    SECTION("a commit that was sent is unknown when its connection is lost") {
        const auto id = simulation.submit(0, make_request(request_kind::commit, "", begun.transaction));
        simulation.run(1_ms);
        simulation.kill(simulation.primary());
        simulation.run(2_s);
        CHECK(has_outcome(simulation.replies.at(id).front().reply, request_outcome::unknown, refusal::connection_lost));
    }
}

TEST_CASE("a standby keeps one connection to each instance and takes over with its reserved term", "[group]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    simulation.set_duty(0, group_duty::standby);
    simulation.run(2_s);
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK(count_open(simulation, index) == 1);
    }
    simulation.platform_up = false;
    simulation.kill(simulation.primary());
    simulation.run(1_s);
    simulation.set_duty(0, group_duty::owner);
    const auto start = simulation.now;
    CHECK(simulation.call(0, make_request(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    CHECK(simulation.now - start < 300_ms);
}

TEST_CASE("a host without a duty opens connections on demand and closes them afterwards", "[group]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    simulation.set_duty(0, group_duty::none);
    simulation.run(3_s);
    CHECK(count_open(simulation, 0) + count_open(simulation, 1) + count_open(simulation, 2) == 0);
    CHECK(simulation.call(0, make_request(request_kind::write, "PUT a 1")).outcome == request_outcome::done);
    CHECK(simulation.call(0, make_request(request_kind::read, "GET a")).outcome == request_outcome::done);
}

TEST_CASE("workspaces get their share while another sends ten times as much", "[group][fair-share]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulation_options options;
        options.seed = seed;
        options.service_time = 10;
        group_simulation simulation(options);
        simulation.run(500_ms);
        for (int round = 0; round < 200; ++round) {
            for (int sender = 0; sender < 17; ++sender) {  // "w0" sends ten requests, the seven other workspaces one each.
                auto write = make_request(request_kind::write, "PUT k 1");
                write.workspace = "w" + std::to_string(std::max(0, sender - 9));
                write.time_left = 600_ms;
                simulation.submit(0, write);
            }
            simulation.run(40_ms);
        }
        simulation.run(1_s);
        std::map<workspace_id, std::size_t> done;
        for (const auto& [id, request] : simulation.submitted) {
            done[request.workspace] += simulation.replies.at(id).front().reply.outcome == request_outcome::done ? 1 : 0;
        }
        for (const auto& [workspace, count] : done) {
            INFO("seed " << seed << " workspace " << workspace << " done " << count);
            CHECK((workspace == "w0" ? count < 2000 : count >= 198));
        }
    }
}
