#include "camphorstack/session_host/share_members.hpp"

#include <algorithm>
#include <iterator>

namespace camphorstack {

namespace {

bool all_hosts_hold_shares(const session_host_state& state) {
    return state.catalog.members->record.list.hosts.size() <= state.shares.settings.all_hold_up_to;
}

/// Returns true if an unreachable member may still spend from its shares of rates. In a fleet in which all hosts hold shares, a
/// member that reaches the store goes on serving its callers from its own; in a larger one others depend on its shares.
bool keeps_shares(const session_host_state& state, const host_id& id, instant now) {
    /// Time in which an unreachable member that reaches the store learns that it is listed, and claims.
    constexpr millis claim_time{1100};
    if (!all_hosts_hold_shares(state)) {
        return false;
    }
    const auto& interval = state.coordination.unreachable_intervals.at(id);
    const auto claim = state.catalog.claims.find(id);
    const bool claimed = claim != state.catalog.claims.end() && claim->second.record.interval == interval.number;
    return claimed || now - interval.seen < claim_time;
}

}  // namespace

void update_share_members(session_host_state& state, instant now) {
    if (!state.catalog.members) {
        return;
    }
    const auto& record = state.catalog.members->record;
    member_list next{state.shares.members.epoch + 1, {}};
    std::ranges::copy_if(record.list.hosts, std::back_inserter(next.hosts), [&](const member& host) {
        const bool is_leaving = std::ranges::binary_search(record.leaving, host.id);
        return !is_leaving && (find_unreachable(record, host.id) == nullptr || keeps_shares(state, host.id, now));
    });
    if (state.shares.members.epoch != 0 && state.shares.members.hosts == next.hosts) {
        return;
    }
    log_decision(state, "share_members_changed",
                 "hosts=" + std::to_string(next.hosts.size()) + " members=" + std::to_string(record.list.hosts.size()) +
                     " members_epoch=" + std::to_string(record.list.epoch));
    update_share_holders(state.shares, next, now);
}

void share_members_tick(session_host_state& state, instant now) {
    if (state.catalog.members && !state.catalog.members->record.unreachable.empty() && all_hosts_hold_shares(state)) {
        update_share_members(state, now);
    }
}

}  // namespace camphorstack
