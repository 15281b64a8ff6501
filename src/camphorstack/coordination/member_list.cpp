#include <algorithm>

#include "camphorstack/coordination/coordinator.hpp"

namespace camphorstack {

namespace {

bool is_reachable(const session_host_state& state, const reporting_host& host, instant now) {
    return host.report.host.id == state.settings.self.id || now - host.last_heard < state.coordination.settings.unreachable_after;
}

/// A coordinator that hears less than half of the members is more likely cut off itself than all of them gone.
bool is_isolated(const session_host_state& state, instant now) {
    std::int64_t last_heard = 0;
    for (const auto& host : listed_members(state)) {
        const auto known = state.coordination.hosts.find(host.id);
        last_heard += known != state.coordination.hosts.end() && is_reachable(state, known->second, now) ? 1 : 0;
    }
    return last_heard * 2 < static_cast<std::int64_t>(listed_members(state).size());
}

members_record wanted_record(session_host_state& state, instant now) {
    auto& duty = state.coordination;
    members_record record;
    record.absences = state.catalog.members ? state.catalog.members->record.absences : 0;
    std::vector<host_id> forgotten;
    for (const auto& [id, known] : duty.hosts) {
        const bool ended = known.report.stage == host_stage::gone;
        const bool listed = std::ranges::find(listed_members(state), id, &member::id) != listed_members(state).end();
        if (ended || now - known.last_heard >= duty.settings.remove_after) {
            if (listed && !ended && may_use_leaders(state, id, now)) {
                duty.last_removal = now;
            }
            forgotten.push_back(id);
            continue;
        }
        if (!listed && (known.report.stage != host_stage::serving || !is_reachable(state, known, now))) {
            continue;
        }
        record.list.hosts.push_back(known.report.host);
        if (!is_reachable(state, known, now)) {
            const auto* before = state.catalog.members ? find_unreachable(state.catalog.members->record, id) : nullptr;
            record.unreachable.push_back(before != nullptr ? *before : unreachable_member{id, ++record.absences});
        } else if (known.report.stage == host_stage::leaving) {
            record.leaving.push_back(id);
        }
    }
    for (const auto& id : forgotten) {
        if (duty.hosts.at(id).report.stage != host_stage::gone) {
            duty.hosts.erase(id);
        }
    }
    return record;
}

}  // namespace

bool may_use_leaders(const session_host_state& state, const host_id& id, instant now) {
    const auto& duty = state.coordination;
    const auto absence = duty.absences.find(id);
    if (absence == duty.absences.end()) {
        return true;
    }
    const auto claim = state.catalog.claims.find(id);
    const bool claimed = claim != state.catalog.claims.end() && claim->second.record.absence == absence->second.number;
    return claimed || now - absence->second.seen < duty.settings.leader_lease + duty.settings.leader_lease_margin;
}

void member_list_tick(session_host_state& state, instant now) {
    auto& duty = state.coordination;
    if (!duty.is_coordinator || duty.members_call || now < duty.next_members || is_isolated(state, now)) {
        return;
    }
    auto record = wanted_record(state, now);
    const auto& known = state.catalog.members;
    const bool same_hosts = known && known->record.list.hosts == record.list.hosts;
    if (same_hosts && known->record.unreachable == record.unreachable && known->record.leaving == record.leaving) {
        return;
    }
    record.list.epoch = known ? known->record.list.epoch + (same_hosts ? 0 : 1) : 1;
    duty.next_members = now + duty.settings.member_list_interval;
    duty.members_call = write_record(state, record, known ? known->revision : 0);
    log_decision(state, "members_wanted",
                 "epoch=" + std::to_string(record.list.epoch) + " hosts=" + std::to_string(record.list.hosts.size()) +
                     " unreachable=" + std::to_string(record.unreachable.size()));
}

}  // namespace camphorstack
