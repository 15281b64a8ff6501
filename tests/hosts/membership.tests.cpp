#include "camphorstack/hosts/membership.hpp"

#include <catch2/catch.hpp>

#include "hosts/membership_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

constexpr std::size_t fleet_size = 8;
const std::set<member_state> suspect_or_dead{member_state::suspect, member_state::dead};

}  // namespace

// Guards against a failure that only some hosts detect, or that is detected late.
TEST_CASE("all hosts declare a failed host dead within two seconds", "[membership]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        membership_fleet fleet{seed, fleet_size};
        fleet.run(3_s);
        fleet.network.stop(host_name(3));
        fleet.run(2_s);
        INFO("seed " << seed);
        CHECK(fleet.seen_by(3, {member_state::dead}) == fleet_size - 1);
    }
}

// Guards against a host that starts with a single seed and stays unknown to other hosts, or never learns of them.
TEST_CASE("a host that starts with one seed learns of all hosts and becomes known to all", "[membership]") {
    membership_fleet fleet{1, fleet_size};
    fleet.run(2_s);
    const auto all = fleet.members;
    fleet.members.hosts = {make_member(0)};
    fleet.start(fleet_size);
    fleet.run(2_s);
    CHECK(fleet.seen_by(fleet_size, {member_state::alive}) == fleet_size);
    CHECK(owner_candidates(fleet.state(fleet_size)).size() == fleet_size + 1);
    const auto proposed = proposed_members(fleet.state(0), all, 10_s, fleet.network.local_now("h0"));
    REQUIRE(proposed);
    CHECK(proposed->size() == fleet_size + 1);
}

// Guards against live hosts that are declared dead because messages are lost or because the hosts are slow.
TEST_CASE("live hosts are not declared dead under message loss or when a fifth of the hosts is slow", "[membership]") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        membership_fleet fleet{seed, 10};
        SECTION("5% loss, seed " + std::to_string(seed)) {
            fleet.network.faults.loss = 0.05;
        }
        SECTION("two of ten hosts slow by up to 400 ms, seed " + std::to_string(seed)) {
            fleet.network.slow_down(host_name(1), 400_ms);
            fleet.network.slow_down(host_name(6), 400_ms);
        }
        fleet.run(60_s);
        CHECK(fleet.observed_deaths == 0);
    }
}

// Guards against a host that declares others dead after its own pause, and against a host that is still regarded as dead after
// its return.
TEST_CASE("a paused host is declared dead, returns and declares no other host dead", "[membership]") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        membership_fleet fleet{seed, fleet_size};
        fleet.run(3_s);
        fleet.network.pause(host_name(2), 5_s);
        fleet.run(4_s);
        INFO("seed " << seed);
        CHECK(fleet.seen_by(2, {member_state::dead}) == fleet_size - 1);
        const auto observed_deaths = fleet.observed_deaths;
        fleet.run(4_s);
        CHECK(fleet.seen_by(2, {member_state::alive}) == fleet_size - 1);
        CHECK(owner_candidates(fleet.state(2)).size() == fleet_size);
        CHECK(fleet.observed_deaths == observed_deaths);
    }
}

// Guards against two halves of a healed partition that permanently regard each other as dead.
TEST_CASE("the halves of a partition rejoin after it heals", "[membership]") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        membership_fleet fleet{seed, fleet_size};
        fleet.run(2_s);
        for (std::size_t a = 0; a < fleet_size / 2; ++a) {
            for (std::size_t b = fleet_size / 2; b < fleet_size; ++b) {
                fleet.network.cut(host_name(a), host_name(b));
            }
        }
        fleet.run(5_s);
        INFO("seed " << seed);
        CHECK(owner_candidates(fleet.state(0)).size() == fleet_size / 2);
        fleet.network.heal_all_links();
        fleet.run(8_s);
        for (std::size_t i = 0; i < fleet_size; ++i) {
            CHECK(owner_candidates(fleet.state(i)).size() == fleet_size);
        }
    }
}

// Guards against a restarted host that is regarded as dead or leaving because its former process was.
TEST_CASE("a restarted host with the same id refutes its old state", "[membership]") {
    for (const bool announced : {false, true}) {
        membership_fleet fleet{1, fleet_size};
        fleet.run(2_s);
        if (announced) {
            announce_leaving(fleet.state(4), fleet.network.local_now(host_name(4)));
            fleet.run(1_s);
            CHECK(fleet.seen_by(4, {member_state::leaving}) == fleet_size - 1);
            const auto proposed = proposed_members(fleet.state(0), fleet.members, 10_s, fleet.network.local_now("h0"));
            REQUIRE(proposed);
            CHECK(proposed->size() == fleet_size - 1);
        }
        fleet.network.stop(host_name(4));
        fleet.run(3_s);
        CHECK(fleet.seen_by(4, suspect_or_dead) == fleet_size - 1);
        fleet.start(4);
        fleet.run(2_s);
        CHECK(fleet.seen_by(4, {member_state::alive}) == fleet_size - 1);
        CHECK(fleet.state(4).incarnation > 0);
    }
}

// Guards against an agreed member list that drops hosts in a short outage, or that never drops dead hosts.
TEST_CASE("a dead host leaves the agreed list after the dead time only", "[membership]") {
    membership_fleet fleet{1, fleet_size};
    fleet.run(2_s);
    const auto proposal = [&fleet] {
        return proposed_members(fleet.state(0), fleet.members, 10_s, fleet.network.local_now("h0"));
    };
    CHECK_FALSE(proposal());
    fleet.network.stop(host_name(5));
    fleet.run(9_s);
    CHECK_FALSE(proposal());
    fleet.run(4_s);
    REQUIRE(proposal());
    CHECK(proposal()->size() == fleet_size - 1);
}
