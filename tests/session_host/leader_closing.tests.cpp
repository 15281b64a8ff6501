#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/session_host/catalog_updates.hpp"

using namespace camphorstack;

namespace {

/// A host that is not the coordinator.
session_host_state make_host() {
    session_host_state state;
    state.settings.self.id = "host-0";
    coordinator_record coordinator;
    coordinator.host.id = "host-1";
    state.catalog.coordinator = stored_record<coordinator_record>{coordinator, 1};
    member_list members{1, {}};
    members.hosts.push_back({"host-0", "10.0.0.1:1", {}, "dc-0"});
    members.hosts.push_back({"host-1", "10.0.0.2:1", {}, "dc-0"});
    state.catalog.members = stored_record<members_record>{{members, {}, {}, 0}, 1};
    return state;
}

void begin_change(session_host_state& state, leader_round round, store_revision revision, instant now) {
    adopt_leader(state, {"db", "db-0", leader_phase::changing, true, round}, revision, now);
}

/// Runs a tick and returns the rounds whose closing it reported.
std::vector<leader_round> reported_rounds(session_host_state& state, instant now) {
    state.actions.clear();
    closing_tick(state, now);
    std::vector<leader_round> rounds;
    for (const auto& action : state.actions) {
        if (const auto* message = std::get_if<send_to_peer>(&action)) {
            rounds.push_back(std::get<leader_closed>(message->message.body).round);
        }
    }
    return rounds;
}

}  // namespace

// Guards against a report for an earlier round that delays the one for the next round, and with it the change of the leader.
TEST_CASE("a host reports at once for each round that its work on the leader has ended", "[leader-closing]") {
    auto state = make_host();
    begin_change(state, 3, 1, instant{1000});
    CHECK(reported_rounds(state, instant{1000}) == std::vector<leader_round>{3});
    CHECK(reported_rounds(state, instant{1100}).empty());
    // The host has missed the record of round 4.
    begin_change(state, 5, 2, instant{1150});
    CHECK(reported_rounds(state, instant{1150}) == std::vector<leader_round>{5});
    CHECK(reported_rounds(state, instant{1300}).empty());
    CHECK(reported_rounds(state, instant{1450}) == std::vector<leader_round>{5});
}

// Guards against transactions that end as soon as a change of their leader begins, because the time since an earlier change
// counts.
TEST_CASE("open transactions have their time in each change of the leader", "[leader-closing]") {
    auto state = make_host();
    const auto has_lease = [&](instant now) {
        closing_tick(state, now);
        return state.executor.endpoints["db-0"].lease.has_value();
    };
    begin_change(state, 3, 1, instant{1000});
    closing_tick(state, instant{1000});
    // The host has missed the record of round 4.
    begin_change(state, 5, 2, instant{5000});
    state.executor.endpoints["db-0"].lease = leader_lease{};
    CHECK(has_lease(instant{5000}));
    const auto limit = state.coordination.settings.close_limit;
    CHECK(has_lease(instant{5000} + limit - millis{1}));
    CHECK_FALSE(has_lease(instant{5000} + limit));
}
