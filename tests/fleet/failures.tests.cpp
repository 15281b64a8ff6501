#include <catch2/catch.hpp>
#include <functional>

#include "fleet/observer.hpp"

using namespace camphorstack;
using namespace camphorstack::fleet_tests;
using namespace camphorstack::literals;

namespace {

/// A fault and its end, by name.
struct fault {
    std::string name;
    std::function<void(fleet&)> begin;
    std::function<void(fleet&)> end;
};

std::vector<fault> faults() {
    const auto nothing = [](fleet& /*subject*/) {};
    auto target = std::make_shared<std::string>();
    const auto pick_primary = [target](fleet& subject) { return *target = subject.primary_of(0); };
    const auto pick_owner = [target](fleet& subject) { return *target = subject.owner_of_database(0); };
    const auto heal = [](fleet& subject) { subject.heal(); };
    const auto thaw = [target](fleet& subject) { subject.thaw(*target); };
    return {
        {"none", nothing, nothing},
        {"primary killed", [=](fleet& f) { f.kill(pick_primary(f)); }, [=](fleet& f) { f.restart_instance(*target); }},
        {"primary cut off", [=](fleet& f) { f.cut(pick_primary(f)); }, heal},
        {"primary cut off from the other instances only",
         [=](fleet& f) {
             const auto primary = pick_primary(f);
             for (const char copy : {'a', 'b', 'c'}) {
                 f.cut(primary, "db-0-" + std::string(1, copy));
             }
         },
         heal},
        {"primary frozen", [=](fleet& f) { f.freeze(pick_primary(f)); }, thaw},
        {"owner killed", [=](fleet& f) { f.kill(pick_owner(f)); }, [=](fleet& f) { f.restart_host(*target); }},
        {"owner cut off", [=](fleet& f) { f.cut(pick_owner(f)); }, heal},
        {"owner frozen", [=](fleet& f) { f.freeze(pick_owner(f)); }, thaw},
        {"platform down", [](fleet& f) { f.set_platform_down(true); }, [](fleet& f) { f.set_platform_down(false); }},
        {"owner's connections to the primary silent",
         [](fleet& f) { f.silence_connections(f.owner_of_database(0), f.primary_of(0)); }, nothing},
    };
}

std::string text_of(const std::vector<std::string>& lines) {
    std::string result;
    for (std::size_t i = 0; i < std::min<std::size_t>(lines.size(), 5); ++i) {
        result += lines[i] + "\n";
    }
    return result;
}

std::string text_of(const observer& callers) {
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
    fleet subject(authority(seed));
    become_ready(subject, 3);
    observer callers(subject, {}, seed);
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
          "[acknowledged-writes-survive][read-your-writes][not-run-is-true][at-most-once][no-former-primary][fleet]") {
    const auto all = faults();
    for (const auto& each : all) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            run_with(each, all.front(), seed);
        }
    }
}

TEST_CASE("the promises hold under each pair of failures and the same failure twice",
          "[acknowledged-writes-survive][read-your-writes][not-run-is-true][at-most-once][no-former-primary][fleet]") {
    const auto all = faults();
    std::uint64_t seed = 100;
    for (std::size_t first = 1; first < all.size(); ++first) {
        for (std::size_t second = 1; second < all.size(); ++second) {
            run_with(all[first], all[second], ++seed);
        }
    }
}
