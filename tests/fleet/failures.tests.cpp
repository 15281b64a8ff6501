#include <catch2/catch.hpp>
#include <functional>

#include "fleet/session_workload.hpp"

using namespace camphorstack;
using namespace camphorstack::fleet_tests;
using namespace camphorstack::literals;

namespace {

/// A fault and its end, by name. `begin` chooses the node that fails and `end` brings the same one back.
struct fault {
    std::string name;
    std::function<void(fleet&)> begin;
    std::function<void(fleet&)> end;
};

std::vector<fault> faults() {
    const auto nothing = [](fleet& /*subject*/) {};
    const auto make = [](const std::string& name, auto choose, auto fail, auto mend) {
        const auto target = std::make_shared<std::string>();
        return fault{name,
                     [=](fleet& subject) {
                         *target = choose(subject);
                         fail(subject, *target);
                     },
                     [=](fleet& subject) { mend(subject, *target); }};
    };
    const auto primary = [](fleet& subject) { return subject.primary_of(0); };
    const auto owner = [](fleet& subject) { return subject.owner_of_database(0); };
    const auto kill = [](fleet& subject, const std::string& id) { subject.kill(id); };
    const auto cut = [](fleet& subject, const std::string& id) { subject.cut(id); };
    const auto freeze = [](fleet& subject, const std::string& id) { subject.freeze(id); };
    const auto heal = [](fleet& subject, const std::string&) { subject.heal(); };
    const auto unfreeze = [](fleet& subject, const std::string& id) { subject.unfreeze(id); };
    const auto cut_replicas = [](fleet& subject, const std::string& id) {
        for (const char copy : {'a', 'b', 'c'}) {
            subject.cut(id, "db-0-" + std::string(1, copy));
        }
    };
    const auto restart_instance = [](fleet& subject, const std::string& id) { subject.restart_instance(id); };
    const auto restart_host = [](fleet& subject, const std::string& id) { subject.restart_host(id); };
    return {
        {"none", nothing, nothing},
        make("primary killed", primary, kill, restart_instance),
        make("primary cut off", primary, cut, heal),
        make("primary cut off from the other instances only", primary, cut_replicas, heal),
        make("primary frozen", primary, freeze, unfreeze),
        make("owner killed", owner, kill, restart_host),
        make("owner cut off", owner, cut, heal),
        make("owner frozen", owner, freeze, unfreeze),
        {"platform down", [](fleet& f) { f.set_platform_down(true); }, [](fleet& f) { f.set_platform_down(false); }},
        {"owner's connections to the primary silent",
         [](fleet& f) { f.blackhole_connections(f.owner_of_database(0), f.primary_of(0)); }, nothing},
    };
}

std::string text_of(const std::vector<std::string>& lines) {
    std::string result;
    for (std::size_t i = 0; i < std::min<std::size_t>(lines.size(), 5); ++i) {
        result += lines[i] + "\n";
    }
    return result;
}

std::string text_of(const session_workload& callers) {
    std::string result = "done " + std::to_string(callers.acknowledged) + ", not run " + std::to_string(callers.not_run) +
                         ", unknown " + std::to_string(callers.unknown);
    for (const auto& [reason, count] : callers.reasons) {
        result += ", " + reason + " " + std::to_string(count);
    }
    return result;
}

/// Runs the load with two faults, the second while the first may still be going on, and judges it.
void run_with(const fault& first, const fault& second, std::uint64_t seed) {
    INFO("first: " << first.name << ", second: " << second.name << ", seed " << seed);
    fleet subject(authority_options(seed));
    wait_until_ready(subject, 3);
    session_workload callers(subject, {}, seed);
    const auto start = subject.now();
    callers.start(start + 9_s);
    subject.run_for(millis{static_cast<std::int64_t>(500 + seed * 37 % 500)});
    first.begin(subject);
    subject.run_for(millis{static_cast<std::int64_t>(200 + seed * 101 % 1500)});
    second.begin(subject);
    subject.run_for(3_s);
    first.end(subject);
    subject.run_for(500_ms);
    second.end(subject);
    subject.run_for(12_s);
    const auto violations = callers.violations();
    INFO(text_of(violations));
    INFO(text_of(callers));
    CHECK(violations.empty());
    CHECK(callers.acknowledged > 1000);
    // A change of primary is over within 6 s, also when the second failure interrupts the first change.
    CHECK(callers.longest_gap(start, start + 9_s) <= 6_s);
}

}  // namespace

TEST_CASE("no write is lost, doubled or refused untruly, and every read sees its session's writes, under one failure",
          "[acknowledged-writes-survive][read-your-writes][not-run-is-true][at-most-once][no-former-primary][fleet][long]") {
    const auto all = faults();
    for (const auto& each : all) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            run_with(each, all.front(), seed);
        }
    }
}

TEST_CASE("the promises hold under each pair of failures and the same failure twice",
          "[acknowledged-writes-survive][read-your-writes][not-run-is-true][at-most-once][no-former-primary][fleet][long]") {
    const auto all = faults();
    const auto again = faults();
    std::uint64_t seed = 100;
    for (std::size_t first = 1; first < all.size(); ++first) {
        for (std::size_t second = 1; second < all.size(); ++second) {
            run_with(all[first], again[second], ++seed);
        }
    }
}
