#include "camphorstack/coordination/coordinator.hpp"

namespace camphorstack {

namespace {

/// The message may be lost with its link, so it is repeated until the change has ended.
constexpr millis repeat_interval{300};

void tell_closed(session_host_state& state, const leader_record& record, instant now) {
    auto& duty = state.coordination;
    const auto told = duty.closing_reported.find(record.database);
    if (told != duty.closing_reported.end() && now - told->second < repeat_interval) {
        return;
    }
    duty.closing_reported[record.database] = now;
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
    auto& duty = state.coordination;
    for (const auto& [database, stored] : state.catalog.leaders) {
        const auto& record = stored.record;
        if (record.phase != leader_phase::changing) {
            duty.closing_seen.erase(database);
            duty.closing_reported.erase(database);
            continue;
        }
        const auto seen = duty.closing_seen.try_emplace(database, now).first->second;
        if (record.planned && now - seen >= duty.settings.close_limit) {
            set_leader_lease(state.executor, record.endpoint, std::nullopt, now);
        }
        if (is_leader_work_done(state.executor, record.endpoint)) {
            tell_closed(state, record, now);
        }
    }
}

void receive_leader_closed(session_host_state& state, const host_id& from, const leader_closed& message) {
    const auto change = state.coordination.changes.find(message.database);
    if (change != state.coordination.changes.end() && change->second.record.round == message.round) {
        change->second.closed.insert(from);
    }
}

}  // namespace camphorstack
