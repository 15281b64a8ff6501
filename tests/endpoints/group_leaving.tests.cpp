#include <catch2/catch.hpp>

#include "endpoints/group_workload.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

std::set<endpoint_id> all_but(std::size_t index) {
    std::set<endpoint_id> names{"i0", "i1", "i2"};
    names.erase("i" + std::to_string(index));
    return names;
}

std::size_t reads_served_by(const group_simulation& simulation, const endpoint_id& id) {
    std::size_t count = 0;
    for (const auto& [request, replies] : simulation.replies) {
        const bool read = simulation.submitted.at(request).kind == request_kind::read;
        count += read && replies.front().reply.served_by == id ? 1 : 0;
    }
    return count;
}

/// Takes one endpoint after the other out and back in, and counts requests that run at an endpoint 3 s after it left.
void leave_in_turn(std::uint64_t seed, std::int64_t lag) {
    simulation_options options;
    options.seed = seed;
    options.replication_lag = lag;
    group_simulation simulation(options);
    group_workload load(simulation, 8);
    simulation.run(700_ms);
    std::size_t late_work = 0;
    for (std::size_t index = 0; index < 3; ++index) {
        const auto left_at = simulation.now;
        simulation.on_run = [&, index, left_at](std::size_t target, const endpoint_call& call) {
            late_work += target == index && !call.request.empty() && simulation.now - left_at > 3_s ? 1 : 0;
        };
        simulation.set_usable(all_but(index));
        simulation.run(4_s);
        CHECK(simulation.primary() != index);
        const auto open = group_endpoints(simulation.hosts[0].state)[index].open_connections;
        CHECK(open <= 1);
        simulation.on_run = nullptr;
        const auto id = "i" + std::to_string(index);
        const auto reads = reads_served_by(simulation, id);
        simulation.set_usable({"i0", "i1", "i2"});
        simulation.run(1_s);
        CHECK(reads_served_by(simulation, id) > reads);
    }
    const auto violations = load.find_violations();
    INFO("seed " << seed << " done " << load.done << " failed " << load.failed << " late work " << late_work << " "
                 << load.last_failure << (violations.empty() ? "" : violations.front()));
    CHECK(violations.empty());
    CHECK(load.failed == 0);
    CHECK(late_work == 0);
}

}  // namespace

TEST_CASE("an endpoint leaves and returns without breaking a request", "[group][endpoint-leaving]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        leave_in_turn(seed, 4);
        leave_in_turn(seed + 100, 40);
    }
}

TEST_CASE("the primary leaves under a load that never pauses by itself", "[group][endpoint-leaving]") {
    group_simulation simulation({});
    group_workload load(simulation, 60);
    load.transactions = false;
    simulation.run(700_ms);
    const auto former = simulation.primary();
    simulation.set_usable(all_but(former));
    simulation.run(3_s);
    CHECK(simulation.primary() != former);
    CHECK(load.find_violations().empty());
    INFO(load.last_failure);
    CHECK(load.failed == 0);
}

TEST_CASE("a returning endpoint gets reads only after it has caught up", "[group][endpoint-leaving]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    const auto replica = (simulation.primary() + 1) % 3;
    const auto id = "i" + std::to_string(replica);
    simulation.set_usable(all_but(replica));
    simulation.instances[replica].cut = true;
    database_request write;
    write.kind = request_kind::write;
    write.statement = "PUT a 1";
    REQUIRE(simulation.call(0, write).outcome == request_outcome::done);
    simulation.run(500_ms);
    simulation.options.replication_lag = 1000000;  // Reachable again, but nothing is copied.
    simulation.heal(replica);
    simulation.set_usable({"i0", "i1", "i2"});
    for (int count = 0; count < 50; ++count) {
        database_request read;
        read.statement = "GET a";
        read.max_age = 100000_ms;
        const auto reply = simulation.call(0, read);
        CHECK(reply.body == "1");
        CHECK(reply.served_by != id);
    }
}

TEST_CASE("a group whose endpoints are all unusable keeps serving", "[group][endpoint-leaving]") {
    group_simulation simulation({});
    simulation.run(500_ms);
    simulation.set_usable({});
    simulation.run(4_s);
    database_request write;
    write.kind = request_kind::write;
    write.statement = "PUT a 1";
    CHECK(simulation.call(0, write).outcome == request_outcome::done);
}

TEST_CASE("ownership moves between hosts without breaking a request", "[group][endpoint-leaving]") {
    simulation_options options;
    options.hosts = 2;
    group_simulation simulation(options);
    simulation.set_duty(1, group_duty::standby);
    group_workload load(simulation, 8);
    simulation.run(1_s);
    simulation.set_duty(0, group_duty::none);
    simulation.set_duty(1, group_duty::owner);
    simulation.run(2_s);
    simulation.set_duty(0, group_duty::owner);
    simulation.set_duty(1, group_duty::standby);
    simulation.run(2_s);
    CHECK(load.find_violations().empty());
    CHECK(load.failed == 0);
    for (const auto& view : group_endpoints(simulation.hosts[1].state)) {
        CHECK(view.open_connections == 1);
    }
}
