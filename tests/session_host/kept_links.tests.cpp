#include "camphorstack/session_host/kept_links.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

session_host_state host_among(std::size_t host_count) {
    session_host_state state;
    state.settings.self.id = "host-0";
    member_list members{1, {}};
    for (std::size_t i = 0; i < host_count; ++i) {
        members.hosts.push_back({"host-" + std::to_string(i), "10.0.0.1:1", {}, "dc-" + std::to_string(i % 6)});
    }
    std::ranges::sort(members.hosts, {}, &member::id);
    state.catalog.members = stored_record<members_record>{{members, {}, {}, 0}, 1};
    state.shares.self = state.settings.self.id;
    update_share_holders(state.shares, members, instant{0});
    return state;
}

std::size_t count_messages(session_host_state& state) {
    const auto count = std::ranges::count_if(
        state.actions, [](const session_host_action& action) { return std::holds_alternative<send_to_peer>(action); });
    state.actions.clear();
    return static_cast<std::size_t>(count);
}

}  // namespace

// Guards against links whose number grows with the fleet, and against operations that wait for a new link.
TEST_CASE("a host keeps links to the holders of shares and to the owners of endpoints", "[kept-links]") {
    CHECK(hosts_to_keep_linked(host_among(7)).size() == 6);
    auto state = host_among(195);
    const auto holders = hosts_to_keep_linked(state).size();
    CHECK((holders >= 23 && holders <= 30));
    CHECK(hosts_to_keep_linked(host_among(1400)).size() <= 70);
    for (int i = 0; i < 300; ++i) {
        state.owners["endpoint-" + std::to_string(i)] = "host-" + std::to_string(i % 195);
    }
    CHECK(hosts_to_keep_linked(state).size() == max_kept_links);

    SECTION("the links are opened a few at a time, and kept from becoming idle") {
        kept_links_tick(state, instant{1000});
        const auto first = count_messages(state);
        CHECK((first > 0 && first <= 8));
        kept_links_tick(state, instant{1050});
        CHECK(count_messages(state) == 0);
        for (int t = 1100; t < 5000; t += 100) {
            kept_links_tick(state, instant{t});
        }
        CHECK(count_messages(state) == max_kept_links - first);
        kept_links_tick(state, instant{27000});
        CHECK(count_messages(state) > 0);
    }
    SECTION("a host that shuts down opens none") {
        state.stopping = true;
        kept_links_tick(state, instant{1000});
        CHECK(count_messages(state) == 0);
    }
}

TEST_CASE("the hosts that hold shares lie in all data centres and change little when a host leaves", "[kept-links]") {
    const auto members = host_among(195).shares.members;
    const auto chosen = choose_share_hosts(members);
    std::map<data_centre_id, std::size_t> counts;
    for (const auto& host : chosen.hosts) {
        ++counts[host.location];
    }
    CHECK(counts.size() == 6);
    for (const auto& [location, count] : counts) {
        CHECK(count == chosen.hosts.size() / 6);
    }
    for (std::size_t i = 0; i < members.hosts.size(); i += 7) {
        auto fewer = members;
        fewer.hosts.erase(fewer.hosts.begin() + static_cast<std::ptrdiff_t>(i));
        const auto after = choose_share_hosts(fewer);
        const auto kept = std::ranges::count_if(
            chosen.hosts, [&](const member& host) { return std::ranges::find(after.hosts, host) != after.hosts.end(); });
        CHECK(static_cast<std::size_t>(kept) + 1 >= chosen.hosts.size());
    }
}
