#include "camphorstack/coordination/coordinator.hpp"

namespace camphorstack {

namespace {

/// Interval at which `leader_closed` is sent again until the change has ended, since a message is lost if its link breaks.
constexpr millis repeat_interval{300};

void report_closed(session_host_state& state, const leader_record& record, instant now) {
    auto& coordination = state.coordination;
    auto& reported = coordination.closing_reported[record.database];
    if (reported.round == record.round && now - reported.sent < repeat_interval) {
        return;
    }
    reported = {record.round, now};
    if (!state.catalog.coordinator) {
        return;
    }
    const leader_closed message{record.database, record.round};
    const auto& coordinator = state.catalog.coordinator->record.host.id;
    if (coordinator == state.settings.self.id) {
        receive_leader_closed(state, coordinator, message);
    } else {
        send_peer(state, coordinator, message);
    }
}

}  // namespace

void closing_tick(session_host_state& state, instant now) {
    auto& coordination = state.coordination;
    for (const auto& [database, stored] : state.catalog.leaders) {
        const auto& record = stored.record;
        if (record.phase != leader_phase::changing) {
            coordination.closing_seen.erase(database);
            coordination.closing_reported.erase(database);
            continue;
        }
        auto& change = coordination.closing_seen[database];
        if (change.round != record.round) {
            // The record between an earlier change and this one may have been missed.
            change = {record.round, now};
        }
        // The endpoint's lease and work are the other database's then.
        const bool is_lost = is_endpoint_of_other(state, database, record.endpoint);
        if (!is_lost && record.planned && now - change.seen >= coordination.settings.close_limit) {
            set_leader_lease(state.executor, record.endpoint, std::nullopt, now);
        }
        if (is_lost || is_leader_work_done(state.executor, record.endpoint)) {
            report_closed(state, record, now);
        }
    }
}

void receive_leader_closed(session_host_state& state, const host_id& from, const leader_closed& message) {
    const auto change = state.coordination.changes.find(message.database);
    if (change != state.coordination.changes.end() && change->second.record.round == message.round) {
        change->second.closed_hosts.insert(from);
    }
}

}  // namespace camphorstack
