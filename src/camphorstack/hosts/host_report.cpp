#include "camphorstack/hosts/host_report.hpp"

#include "camphorstack/hosts/host_state.hpp"

namespace camphorstack {

namespace {

std::vector<member_report> report_members(const host_state& state) {
    const auto own_state = state.stopping ? member_state::leaving : member_state::alive;
    std::vector<member_report> result{{state.settings.self, own_state}};
    for (const auto& [id, view] : state.membership.others) {
        result.push_back({view.newest.subject, view.newest.state});
    }
    return result;
}

std::vector<database_report> report_databases(const host_state& state) {
    std::vector<database_report> result;
    for (const auto& [id, entry] : state.groups) {
        database_report each{id, entry.hosts.owner, entry.hosts.standby, entry.duty, group_in_flight(entry.group), {}};
        if (entry.duty != group_duty::none) {
            each.endpoints = group_endpoints(entry.group);
        }
        result.push_back(std::move(each));
    }
    return result;
}

std::vector<workspace_report> report_workspaces(const host_state& state) {
    std::vector<workspace_report> result;
    for (const auto& workspace : state.known.store.content->workspaces) {
        workspace_report each{workspace.id, workspace.rate_per_s, workspace.burst, 0, {}};
        const auto counts = state.counts.find(workspace.id);
        if (counts != state.counts.end()) {
            each.admitted = counts->second.admitted;
            for (const auto& [reason, count] : counts->second.refused) {
                each.refused[to_string(reason)] = count;
            }
        }
        result.push_back(std::move(each));
    }
    return result;
}

}  // namespace

host_report report(const host_state& state, instant now) {
    host_report result;
    result.reported_at = now;
    result.id = state.settings.self.id;
    result.location = state.settings.self.location;
    result.version = state.known.store.content->version;
    result.members_epoch = state.members.epoch;
    result.serving = serving_state(state, now);
    result.leaving = state.stopping;
    result.hosts = report_members(state);
    result.data_centres = state.known.store.content->data_centres;
    result.databases = report_databases(state);
    result.workspaces = report_workspaces(state);
    result.decisions = state.recent_decisions;
    return result;
}

}  // namespace camphorstack
