#include <catch2/catch.hpp>

#include "endpoints/group_workload.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

enum class fault : std::uint8_t { kill, cut, freeze };
constexpr fault all_faults[] = {fault::kill, fault::cut, fault::freeze};

void apply(group_simulation& simulation, fault kind, std::size_t index) {
    switch (kind) {
        case fault::kill:
            simulation.kill(index);
            break;
        case fault::cut:
            simulation.instances[index].cut = true;
            break;
        case fault::freeze:
            simulation.instances[index].frozen = true;
            break;
    }
}

fault random_fault(group_simulation& simulation) {
    return all_faults[simulation.random_int(0, 2)];
}

std::string joined(const std::vector<std::string>& lines) {
    std::string text;
    for (std::size_t index = 0; index < lines.size() && index < 5; ++index) {
        text += lines[index] + "; ";
    }
    return text;
}

void fail_primary(group_simulation& simulation) {
    const auto former = simulation.primary();
    apply(simulation, random_fault(simulation), former);
    simulation.run(millis{simulation.random_int(200, 2500)});
    simulation.heal(former);
}

/// Two instances at the same time, so that the group has no majority until one returns.
void fail_primary_and_replica(group_simulation& simulation) {
    const auto former = simulation.primary();
    const auto other = (former + static_cast<std::size_t>(simulation.random_int(1, 2))) % simulation.instances.size();
    apply(simulation, random_fault(simulation), former);
    simulation.run(millis{simulation.random_int(0, 50)});
    apply(simulation, random_fault(simulation), other);
    simulation.run(millis{simulation.random_int(200, 1500)});
    const bool first = simulation.chance(0.5);
    simulation.heal(first ? former : other);
    simulation.run(millis{simulation.random_int(0, 1500)});
    simulation.heal(first ? other : former);
}

void fail_primary_twice(group_simulation& simulation) {
    const auto former = simulation.primary();
    apply(simulation, random_fault(simulation), former);
    simulation.run(millis{simulation.random_int(400, 900)});
    const auto next = simulation.primary();
    apply(simulation, random_fault(simulation), next);
    simulation.run(millis{simulation.random_int(0, 600)});
    simulation.heal(former);
    simulation.run(millis{simulation.random_int(100, 1500)});
    simulation.heal(next);
}

/// Faults, pauses, leaving endpoints and changes of owner in any order and overlap.
void run_fault_sequence(group_simulation& simulation) {
    for (int step = 0; step < 10; ++step) {
        const auto index = static_cast<std::size_t>(simulation.random_int(0, 2));
        const auto host =
            static_cast<std::size_t>(simulation.random_int(0, static_cast<std::int64_t>(simulation.hosts.size()) - 1));
        switch (simulation.random_int(0, 5)) {
            case 0:
                apply(simulation, random_fault(simulation), simulation.primary());
                break;
            case 1:
                apply(simulation, random_fault(simulation), index);
                break;
            case 2:
                simulation.hosts[host].paused_until = simulation.now + millis{simulation.random_int(100, 2000)};
                break;
            case 3:
                simulation.set_usable({"i0", "i" + std::to_string(index)});
                break;
            case 4:
                simulation.set_duty(host, simulation.chance(0.5) ? group_duty::standby : group_duty::owner);
                break;
            default:
                simulation.platform_up = !simulation.platform_up;
                break;
        }
        simulation.run(millis{simulation.random_int(0, 600)});
        simulation.heal(static_cast<std::size_t>(simulation.random_int(0, 2)));
    }
    simulation.platform_up = true;
    simulation.set_duty(0, group_duty::owner);
}

template <typename Fault>
void check_seeds(const simulation_options& base, std::uint64_t seeds, Fault cause) {
    std::size_t done = 0;
    std::size_t failed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto options = base;
        options.seed = seed;
        group_simulation simulation(options);
        group_workload load(simulation, 8);
        simulation.run(700_ms);
        cause(simulation);
        simulation.run(1_s);
        const auto violations = load.find_violations();
        done += load.done;
        failed += load.failed;
        INFO("seed " << seed << ": " << joined(violations));
        CHECK(violations.empty());
    }
    INFO("done " << done << " failed " << failed);
    CHECK(failed * 10 < done);
}

}  // namespace

TEST_CASE("acknowledged writes survive the loss of the primary",
          "[group][acknowledged-writes-survive][not-run-is-true][at-most-once]") {
    SECTION("alone") {
        check_seeds({}, 30, fail_primary);
    }
    SECTION("together with a replica") {
        check_seeds({}, 30, fail_primary_and_replica);
    }
    SECTION("twice in a row") {
        check_seeds({}, 30, fail_primary_twice);
    }
}

TEST_CASE("a group of five acknowledges with three", "[group][acknowledged-writes-survive]") {
    simulation_options options;
    options.instances = 5;
    SECTION("alone") {
        check_seeds(options, 8, fail_primary);
    }
    SECTION("together with a replica") {
        check_seeds(options, 8, fail_primary_and_replica);
    }
    SECTION("twice in a row") {
        check_seeds(options, 8, fail_primary_twice);
    }
}

TEST_CASE("no write is acknowledged by a former primary while two hosts supervise the group", "[group][no-former-primary]") {
    simulation_options options;
    options.hosts = 2;
    SECTION("alone") {
        check_seeds(options, 30, fail_primary);
    }
    SECTION("twice in a row") {
        check_seeds(options, 30, fail_primary_twice);
    }
    SECTION("with a paused owner") {
        check_seeds(options, 30, [](group_simulation& simulation) {
            simulation.hosts[0].paused_until = simulation.now + millis{simulation.random_int(500, 3000)};
            fail_primary(simulation);
        });
    }
}

TEST_CASE("promises hold under any sequence of faults with two hosts",
          "[group][acknowledged-writes-survive][no-former-primary][not-run-is-true][at-most-once]") {
    simulation_options options;
    options.hosts = 2;
    options.misdelivered = 0.002;
    options.silent = 0.001;
    options.replication_lag = 20;
    check_seeds(options, 30, run_fault_sequence);
}

TEST_CASE("sessions read their writes across replication lag and promotion", "[group][read-your-writes]") {
    simulation_options options;
    options.hosts = 2;
    options.replication_lag = 60;
    check_seeds(options, 30, fail_primary);
}

TEST_CASE("crossed, late and lost answers never reach another request", "[group][whole-answer][transaction-isolation]") {
    simulation_options options;
    options.misdelivered = 0.01;
    options.silent = 0.002;
    check_seeds(options, 30, fail_primary);
}

TEST_CASE("replicas serve the reads of sessions that have just written", "[group][replica-share]") {
    for (const std::int64_t lag : {5, 50}) {
        simulation_options options;
        options.replication_lag = lag;
        options.latency = 8;
        group_simulation simulation(options);
        const group_workload load(simulation, 12);
        simulation.run(5_s);
        std::map<endpoint_id, std::size_t> reads;
        for (const auto& [id, replies] : simulation.replies) {
            reads[replies.front().reply.served_by] += simulation.submitted.at(id).kind == request_kind::read ? 1 : 0;
        }
        const auto by_primary = reads["i" + std::to_string(simulation.primary())];
        const auto all = reads["i0"] + reads["i1"] + reads["i2"];
        WARN("lag " << lag << " ms: " << all - by_primary << " of " << all << " reads by replicas");
        CHECK(by_primary * 20 <= all);
    }
}
