#include "camphorstack/coordination/leader_suspicion.hpp"

#include <algorithm>

#include "camphorstack/coordination/candidates.hpp"

namespace camphorstack {

namespace {

bool reports_suspicion(const membership_report& report, const endpoint_id& id) {
    return std::ranges::find(report.suspected, id) != report.suspected.end();
}

bool is_discounted(const coordination_state& coordination, const host_id& host, const endpoint_id& leader, instant now) {
    const auto found = coordination.discounted_suspicions.find(leader);
    return found != coordination.discounted_suspicions.end() && now < found->second.until &&
           (found->second.all_hosts || found->second.hosts.contains(host));
}

}  // namespace

bool is_leader_suspected(const session_host_state& state, const endpoint_id& leader, instant now) {
    const auto& coordination = state.coordination;
    return std::ranges::any_of(coordination.hosts, [&](const auto& item) {
        const bool recent = now - item.second.last_heard < coordination.settings.unreachable_after;
        return recent && reports_suspicion(item.second.report, leader) && !is_discounted(coordination, item.first, leader, now);
    });
}

void discount_earlier_suspicions(session_host_state& state, const leader_change& change, instant now) {
    auto& coordination = state.coordination;
    const auto& leader = change.record.endpoint;
    coordination.suspected_since.erase(leader);
    coordination.missing_since.erase(leader);
    coordination.replaced_since.erase(leader);
    const auto& settings = coordination.settings;
    discounted_suspicion earlier;
    earlier.until = now + (change.kept ? settings.kept_leader_time : settings.earlier_suspicion_time);
    earlier.all_hosts = change.kept;
    for (const auto& [id, host] : coordination.hosts) {
        if (reports_suspicion(host.report, leader)) {
            earlier.hosts.insert(id);
        }
    }
    std::erase_if(coordination.discounted_suspicions, [&](const auto& item) { return now >= item.second.until; });
    coordination.discounted_suspicions[leader] = std::move(earlier);
}

void update_discounted_suspicions(session_host_state& state, const host_id& host, const membership_report& report) {
    for (auto& [leader, earlier] : state.coordination.discounted_suspicions) {
        if (!reports_suspicion(report, leader)) {
            earlier.hosts.erase(host);
        }
    }
}

bool may_keep_leader(const session_host_state& state, const leader_change& change, instant now) {
    const auto& coordination = state.coordination;
    const auto& leader = change.record.endpoint;
    const auto known = change.statuses.find(leader);
    // After a promotion, only another one shows which endpoint is the primary. That takes as long as promoting a candidate.
    if (change.record.planned || change.promotion_sent || known == change.statuses.end() ||
        find_endpoint_of(state, change.record.database, leader) == nullptr) {
        return false;
    }
    const auto& [status, received_at] = known->second;
    const bool is_recent = now - received_at < coordination.settings.status_timeout;
    const auto kept = coordination.leaders_kept_at.find(leader);
    const bool was_kept = kept != coordination.leaders_kept_at.end() && now - kept->second < coordination.settings.keep_interval;
    return is_recent && status.is_primary && !was_kept && status.term >= newest_term(state, change.record.database);
}

}  // namespace camphorstack
