#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{8000};
/// Time from the kill until the processes are started again.
constexpr millis restart_delay{300};
/// All hosts start again within this time.
constexpr std::int64_t start_spread_ms = 200;
constexpr millis observed_time{8000};
constexpr millis ask_interval{50};
/// Bound on the time from the kill to the first answers.
constexpr millis longest_recovery{1000};
/// Bound on the calls within `observed_time`: each host lists four collections and then hears of changes from other hosts.
constexpr std::size_t store_calls_per_host = 6;

fleet_options fleet_of(std::size_t hosts) {
    fleet_options options{.workspaces = 24, .service_time = millis{1}, .connections = 64};
    options.hosts.clear();
    for (std::size_t i = 0; i < hosts; ++i) {
        options.hosts.emplace_back(i % 3 == 0 ? "amman-a" : i % 3 == 1 ? "irbid-a" : "aqaba-a");
    }
    return options;
}

/// What callers got after the kill of all hosts.
struct recovery {
    std::optional<millis> first_read;   ///< From the kill.
    std::optional<millis> first_write;  ///< From the kill.
    std::size_t store_calls = 0;        ///< From the kill until `observed_time` after it.
    std::vector<std::string> steps;     ///< The first entry of each kind in the decision log, with the time since the kill.
};

/// Kills all hosts and starts them again, the coordinator last by `coordinator_delay`.
recovery kill_all(session_fleet& fleet, std::size_t host_count, millis coordinator_delay) {
    const auto coordinator = fleet.host("host-1").catalog.coordinator->record.host.id;
    const auto killed = fleet.now();
    const auto calls = fleet.store.calls;
    fleet.log.clear();
    for (std::size_t i = 0; i < host_count; ++i) {
        fleet.kill_host("host-" + std::to_string(i));
    }
    fleet.run_for(restart_delay);
    random_source random{7};
    for (std::size_t i = 0; i < host_count; ++i) {
        fleet.run_for(
            millis{i % 4 == 0 ? static_cast<std::int64_t>(start_spread_ms * 4 / static_cast<std::int64_t>(host_count)) : 0});
        if (const auto id = "host-" + std::to_string(i); id != coordinator) {
            fleet.start_host(id);
        }
    }
    const auto coordinator_start = fleet.now() + coordinator_delay;
    bool is_complete = false;
    recovery result;
    std::vector<std::pair<session_id, bool>> asked;
    for (int round = 0; fleet.now() - killed < observed_time; ++round) {
        if (!is_complete && fleet.now() >= coordinator_start) {
            fleet.start_host(coordinator);
            is_complete = true;
        }
        auto host = "host-" + std::to_string(random() % host_count);
        host = host == coordinator ? "host-1" : host;
        for (const bool writes : {false, true}) {
            const auto kind = writes ? consistency::primary : consistency::bounded_staleness;
            const auto session = fleet.connect(host, session_fleet::route_name(0, kind), session_fleet::key_of(0));
            const auto id = (writes ? "w" : "r") + std::to_string(round);
            fleet.run_for(millis{10});
            if (fleet.caller(session).accepted) {
                fleet.send(session, writes ? write_statement(id, "item", "x") : read_statement(id, "item"));
                asked.emplace_back(session, writes);
            }
        }
        fleet.run_for(ask_interval);
    }
    for (const auto& [session, writes] : asked) {
        auto& first = writes ? result.first_write : result.first_read;
        for (const auto& received : fleet.caller(session).answers) {
            if (received.answer.code == result_code::none) {
                first = std::min(first.value_or(observed_time), received.at - killed);
            }
        }
    }
    result.store_calls = fleet.store.calls - calls;
    std::set<std::string> kinds;
    for (const auto& line : fleet.log) {
        const auto host = line.find(' ') + 1;
        const auto kind = line.find(' ', host) + 1;
        if (kinds.insert(line.substr(kind, line.find(' ', kind) - kind)).second) {
            const auto at = std::stoll(line.substr(0, host - 1)) - killed.since_start;
            result.steps.push_back(std::to_string(at) + " " + line.substr(host, 160));
        }
    }
    return result;
}

}  // namespace

// Guards against a fleet that takes long to serve again after all its processes were killed, or that floods the store then.
TEST_CASE("a fleet whose hosts were all killed serves again soon, with few calls to the store",
          "[session-fleet][after-losses][large]") {
    const auto host_count = GENERATE(std::size_t{40}, std::size_t{88});
    const auto coordinator_delay = GENERATE(millis{0}, millis{1500}, millis{20000});
    session_fleet fleet(fleet_of(host_count));
    fleet.run_for(start_time);
    REQUIRE(fleet.ready_hosts() == host_count);
    const auto result = kill_all(fleet, host_count, coordinator_delay);
    CAPTURE(host_count, coordinator_delay.count, result.steps, result.store_calls);
    REQUIRE(result.first_read);
    REQUIRE(result.first_write);
    CHECK(*result.first_read <= longest_recovery);
    CHECK(*result.first_write <= longest_recovery);
    CHECK(result.store_calls <= host_count * store_calls_per_host);
}
