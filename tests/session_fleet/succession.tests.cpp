#include "camphorstack/coordination/succession.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/coordination/coordinator.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr std::size_t host_count = 60;

std::string host_id_of(std::size_t i) {
    return "host-" + std::to_string(i);
}

std::vector<member> members_of(std::size_t count) {
    std::vector<member> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({host_id_of(i), {}, {}, {}});
    }
    return members;
}

}  // namespace

// Guards against a wait for a new coordinator that grows with the number of lost hosts: with 200 ms for each host that precedes
// in the order of succession, the loss of a third of 195 hosts left the fleet without a coordinator for 13 s.
TEST_CASE("a coordinator is replaced soon after a third of the fleet is lost with it", "[session-fleet][succession]") {
    fleet_options options;
    options.hosts.clear();
    for (std::size_t i = 0; i < host_count; ++i) {
        options.hosts.emplace_back(i % 3 == 0 ? "amman-a" : i % 3 == 1 ? "irbid-a" : "aqaba-a");
    }
    session_fleet fleet(options);
    fleet.run_for(millis{6000});
    auto order = listed_members(fleet.host("host-0"));
    const auto coordinator = fleet.host("host-0").catalog.coordinator->record.host.id;
    std::set<host_id> lost{coordinator};
    for (const auto& host : order) {
        if (lost.size() < host_count / 3) {
            lost.insert(host.id);
        }
    }
    for (const auto& id : lost) {
        fleet.kill_host(id);
    }
    const auto survivors_follow = [&] {
        return std::ranges::all_of(order, [&](const member& host) {
            return lost.contains(host.id) || !lost.contains(fleet.host(host.id).catalog.coordinator->record.host.id);
        });
    };
    const auto began = fleet.now();
    CHECK(fleet.run_until(survivors_follow, millis{10000}));
    CAPTURE((fleet.now() - began).count);
    CHECK(fleet.now() - began <= millis{3500});
}

TEST_CASE("the wait before a takeover grows with the logarithm of the position", "[succession]") {
    const coordination_settings settings;
    CHECK(takeover_wait(settings, 0) == settings.takeover_after);
    CHECK(takeover_wait(settings, 1) == settings.takeover_after + settings.takeover_step);
    CHECK(takeover_wait(settings, 65) <= settings.takeover_after + settings.takeover_step * 7);
    CHECK(takeover_wait(settings, 1400) <= settings.takeover_after + settings.takeover_step * 11);
    for (std::int64_t position = 1; position < 1400; ++position) {
        CHECK(takeover_wait(settings, position - 1) <= takeover_wait(settings, position));
    }
}

// Guards against messages that grow with the square of the fleet while the coordinator is silent.
TEST_CASE("a host asks few peers when the coordinator is silent", "[succession]") {
    CHECK(sample_peers(members_of(7), "host-1", "host-0").size() == 5);
    const auto members = members_of(1400);
    const auto sample = sample_peers(members, "host-1", "host-0");
    CHECK(sample.size() == peer_sample_size);
    CHECK(std::ranges::count(sample, "host-0") == 0);
    CHECK(std::ranges::count(sample, "host-1") == 0);
    CHECK(sample != sample_peers(members, "host-2", "host-0"));
}
