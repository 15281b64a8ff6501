#include <algorithm>

#include "camphorstack/coordination/coordinator.hpp"

namespace camphorstack {

namespace {

bool is_reachable(const session_host_state& state, const reporting_host& host, instant now) {
    return host.report.host.id == state.settings.self.id || now - host.last_heard < state.coordination.settings.unreachable_after;
}

/// Returns true if fewer than half of the members are reachable. The coordinator is then more likely to be cut off itself than
/// the other members are to have failed.
bool is_isolated(const session_host_state& state, instant now) {
    std::int64_t reachable = 0;
    for (const auto& host : listed_members(state)) {
        const auto known = state.coordination.hosts.find(host.id);
        reachable += known != state.coordination.hosts.end() && is_reachable(state, known->second, now) ? 1 : 0;
    }
    return reachable * 2 < static_cast<std::int64_t>(listed_members(state).size());
}

members_record make_members_record(session_host_state& state, instant now) {
    auto& coordination = state.coordination;
    members_record record;
    record.last_unreachable_interval = state.catalog.members ? state.catalog.members->record.last_unreachable_interval : 0;
    std::vector<host_id> removed;
    for (const auto& [id, known] : coordination.hosts) {
        const bool ended = known.report.stage == host_stage::exiting;
        const bool listed = std::ranges::find(listed_members(state), id, &member::id) != listed_members(state).end();
        if (ended || now - known.last_heard >= coordination.settings.remove_after) {
            if (listed && !ended && may_use_leaders(state, id, now)) {
                coordination.last_removal = now;
            }
            removed.push_back(id);
            continue;
        }
        if (!listed && (known.report.stage != host_stage::serving || !is_reachable(state, known, now))) {
            continue;
        }
        record.list.hosts.push_back(known.report.host);
        if (!is_reachable(state, known, now)) {
            const auto* before = state.catalog.members ? find_unreachable(state.catalog.members->record, id) : nullptr;
            record.unreachable.push_back(before != nullptr ? *before
                                                           : unreachable_member{id, ++record.last_unreachable_interval});
        } else if (known.report.stage == host_stage::leaving) {
            record.leaving.push_back(id);
        }
    }
    for (const auto& id : removed) {
        if (coordination.hosts.at(id).report.stage != host_stage::exiting) {
            coordination.hosts.erase(id);
        }
    }
    return record;
}

}  // namespace

bool may_use_leaders(const session_host_state& state, const host_id& id, instant now) {
    const auto& coordination = state.coordination;
    const auto interval = coordination.unreachable_intervals.find(id);
    if (interval == coordination.unreachable_intervals.end()) {
        return true;
    }
    const auto claim = state.catalog.claims.find(id);
    const bool claimed = claim != state.catalog.claims.end() && claim->second.record.interval == interval->second.number;
    return claimed ||
           now - interval->second.seen < coordination.settings.leader_lease + coordination.settings.leader_lease_margin;
}

void member_list_tick(session_host_state& state, instant now) {
    auto& coordination = state.coordination;
    if (!coordination.is_coordinator || coordination.members_call || now < coordination.next_members || is_isolated(state, now)) {
        return;
    }
    auto record = make_members_record(state, now);
    const auto& known = state.catalog.members;
    const bool same_hosts = known && known->record.list.hosts == record.list.hosts;
    if (same_hosts && known->record.unreachable == record.unreachable && known->record.leaving == record.leaving) {
        return;
    }
    record.list.epoch = known ? known->record.list.epoch + (same_hosts ? 0 : 1) : 1;
    coordination.next_members = now + coordination.settings.member_list_interval;
    coordination.members_call = write_record(state, record, known ? known->revision : 0);
    log_decision(state, "members_wanted",
                 "epoch=" + std::to_string(record.list.epoch) + " hosts=" + std::to_string(record.list.hosts.size()) +
                     " unreachable=" + std::to_string(record.unreachable.size()));
}

}  // namespace camphorstack
