#include "camphorstack/coordination/endpoint_requests.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/coordination/candidates.hpp"
#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

void request_status(session_host_state& state, leader_change& change, const endpoint_id& endpoint, instant now) {
    const auto open = change.status_requests.find(endpoint);
    const bool waits =
        open != change.status_requests.end() && now - open->second.sent < state.coordination.settings.status_timeout * 2;
    if (waits) {
        return;
    }
    if (is_endpoint_of_other(state, change.record.database, endpoint)) {
        return;
    }
    auto request = make_administrative_run(state, change.record.database, endpoint, run_kind::status,
                                           state.coordination.settings.status_timeout);
    if (!request) {
        return;
    }
    change.status_requests[endpoint] = {request->id, now};
    state.coordination.status_requests[request->id] = {change.record.database, endpoint};
    start_run(state, executor_host(state, endpoint), std::move(*request), now);
}

}  // namespace

void request_statuses(session_host_state& state, leader_change& change, const std::vector<endpoint_id>& endpoints, instant now) {
    if (now < change.next_status_request) {
        return;
    }
    change.next_status_request = now + state.coordination.settings.status_interval;
    for (const auto& endpoint : endpoints) {
        request_status(state, change, endpoint, now);
    }
}

void demote_former_primaries(session_host_state& state, const leader_change& change, instant now) {
    const auto* leader = status_of(change, change.target);
    if (leader == nullptr || synchronous_replicas_of(state, change.record.database) == 0) {
        return;
    }
    for (const auto& former : change.former_primaries) {
        auto request = make_administrative_run(state, change.record.database, former, run_kind::demote,
                                               state.coordination.settings.status_timeout);
        if (!request) {
            return;
        }
        request->text = std::to_string(leader->term);
        log_decision(state, "endpoint_demoted",
                     "endpoint=" + log_value(former) + " term=" + request->text + " successor=" + log_value(change.target));
        start_run(state, state.settings.self.id, std::move(*request), now);
    }
}

bool receive_status_result(session_host_state& state, const run_result& result, instant now) {
    auto& coordination = state.coordination;
    const auto request = coordination.status_requests.find(result.id);
    if (request == coordination.status_requests.end()) {
        return false;
    }
    const auto [database, endpoint] = request->second;
    coordination.status_requests.erase(request);
    const auto change = coordination.changes.find(database);
    if (change == coordination.changes.end()) {
        return true;
    }
    const auto pending = change->second.status_requests.find(endpoint);
    if (pending == change->second.status_requests.end() || pending->second.run != result.id) {
        return true;
    }
    change->second.status_requests.erase(pending);
    if (result.status) {
        change->second.statuses[endpoint] = {*result.status, now};
        auto& newest = coordination.newest_terms[database];
        newest = std::max(newest, result.status->term);
        log_decision(state, "endpoint_status",
                     "endpoint=" + log_value(endpoint) + " primary=" + (result.status->is_primary ? "yes" : "no") + " term=" +
                         std::to_string(result.status->term) + " received=" + std::to_string(result.status->received.term) + "." +
                         std::to_string(result.status->received.index));
    }
    leader_changes_tick(state, now);
    return true;
}

}  // namespace camphorstack
