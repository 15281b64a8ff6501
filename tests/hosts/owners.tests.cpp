#include "camphorstack/hosts/owners.hpp"

#include <catch2/catch.hpp>

#include "camphorstack/contracts/shares.hpp"
#include "hosts/membership_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::tests;

namespace {

std::vector<member> make_members(std::size_t count) {
    std::vector<member> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(make_member(i));
    }
    return hosts;
}

database make_database(std::size_t index) {
    const auto id = "db" + std::to_string(index);
    return {
        id, "service", {{id + "-a", "dc0", {}, 2, 16, {}}, {id + "-b", "dc0", {}, 2, 16, {}}, {id + "-c", "dc1", {}, 2, 16, {}}}};
}

}  // namespace

// Guards against the removal of one host moving databases between the remaining hosts.
TEST_CASE("owners move only from the host that leaves, to its standby", "[owners]") {
    const auto hosts = make_members(16);
    for (std::size_t i = 0; i < 300; ++i) {
        const auto group = make_database(i);
        const auto before = choose_group_hosts(group, {}, hosts);
        CHECK(before.owner != before.standby);
        for (const auto& leaving : hosts) {
            auto remaining = hosts;
            std::erase(remaining, leaving);
            const auto after = choose_group_hosts(group, {}, remaining);
            CHECK(after.owner == (leaving.id == before.owner ? before.standby : before.owner));
        }
    }
}

// Guards against owners in other data centres than most of their instances, and in a data centre that is out.
TEST_CASE("owners prefer the data centre with most instances and avoid one that is out", "[owners]") {
    const auto hosts = make_members(15);
    document content;
    content.data_centres = {{"dc0", "r", admin_state::in}, {"dc1", "r", admin_state::in}, {"dc2", "r", admin_state::in}};
    std::size_t in_preferred_data_centre = 0;
    for (std::size_t i = 0; i < 300; ++i) {
        in_preferred_data_centre += data_centre_of(choose_group_hosts(make_database(i), content, hosts).owner) == 0 ? 1 : 0;
    }
    CHECK(in_preferred_data_centre > 150);
    content.data_centres[0].state = admin_state::out;
    for (std::size_t i = 0; i < 300; ++i) {
        const auto chosen = choose_group_hosts(make_database(i), content, hosts);
        CHECK(data_centre_of(chosen.owner) != 0);
        CHECK(data_centre_of(chosen.standby) != 0);
    }
    CHECK(choose_group_hosts(make_database(0), content, {make_member(0)}) == group_hosts{"h0", {}});
    CHECK(choose_group_hosts(make_database(0), content, {}) == group_hosts{});
}

// Guards against a change of one host in the member list that replaces more than one watcher or share holder.
TEST_CASE("watchers and share holders change by at most one when a host leaves", "[owners]") {
    const member_list members{1, make_members(40)};
    const auto watchers = choose_watchers(members);
    const auto holders = choose_share_holders(members, "w", 8);
    CHECK(watchers.size() == watcher_count);
    CHECK(holders.size() == 8);
    const auto kept = [](const std::vector<host_id>& before, const std::vector<host_id>& after) {
        return std::ranges::count_if(before, [&after](const host_id& id) { return std::ranges::binary_search(after, id); });
    };
    for (std::size_t i = 0; i < members.hosts.size(); ++i) {
        auto remaining = members;
        remaining.hosts.erase(remaining.hosts.begin() + static_cast<std::ptrdiff_t>(i));
        CHECK(kept(watchers, choose_watchers(remaining)) >= 8);
        CHECK(kept(holders, choose_share_holders(remaining, "w", 8)) >= 7);
    }
    const share_settings settings;
    CHECK((settings.max_holders == 8 && settings.all_hold_up_to == 16));
    const auto count = holder_count(settings, request_cost, 16);
    CHECK(choose_share_holders({1, make_members(16)}, "w", count).size() == 16);
    CHECK(holder_count(settings, request_cost, 40) == 8);
}
