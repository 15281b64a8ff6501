#include <algorithm>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/session_host/catalog_updates.hpp"

namespace camphorstack {

namespace {

/// A coordinator whose evidence of its duty is older than this does not claim it.
constexpr millis claim_limit{1500};
/// Answers of peers count this long when a host judges whether the coordinator or itself is cut off.
constexpr millis peer_answer_time{1200};
/// Reports whose answers are still taken.
constexpr std::size_t open_reports = 16;
/// Without answers of most peers, a host that reaches the store takes over after this many times the usual wait: all others may
/// be gone.
constexpr std::int64_t alone_factor = 3;

membership_report make_report(const session_host_state& state, instant now) {
    membership_report report;
    report.host = state.settings.self;
    report.nonce = state.settings.nonce;
    report.stage = state.stopping ? host_stage::leaving : host_stage::serving;
    for (const auto& [id, endpoint] : state.executor.endpoints) {
        if (is_suspected(state.executor, endpoint, now)) {
            report.suspected.push_back(id);
        }
    }
    return report;
}

bool reaches_store(const session_host_state& state, instant now) {
    const auto age = evidence_age(state, collection::fleet, now);
    return age && *age < claim_limit;
}

/// Place of this host in the order of succession.
std::int64_t succession_rank(const session_host_state& state) {
    std::int64_t rank = 0;
    const auto& coordinator = state.catalog.coordinator->record.host.id;
    for (const auto& host : listed_members(state)) {
        if (host.id == state.settings.self.id) {
            return rank;
        }
        rank += host.id == coordinator ? 0 : 1;
    }
    return rank;
}

bool reaches_most_peers(const session_host_state& state, instant now) {
    const auto others = std::ranges::count_if(listed_members(state), [&](const member& host) {
        return host.id != state.settings.self.id && host.id != state.catalog.coordinator->record.host.id;
    });
    const auto last_heard = std::ranges::count_if(state.coordination.peers_last_heard,
                                                  [&](const auto& item) { return now - item.second < peer_answer_time; });
    return last_heard * 2 >= others;
}

void take_over(session_host_state& state, instant now) {
    const auto& known = state.catalog.coordinator;
    coordinator_record record{state.settings.self, state.settings.nonce, known ? known->record.fence + 1 : 1};
    state.coordination.takeover_call = write_record(state, record, known ? known->revision : 0);
    log_decision(state, "duty_wanted",
                 "fence=" + std::to_string(record.fence) + " coordinator=" + (known ? known->record.host.id : "none") +
                     " unanswered_ms=" + std::to_string((now - state.coordination.last_answered_report).count));
}

bool should_take_over(const session_host_state& state, instant now) {
    const auto& duty = state.coordination;
    if (duty.takeover_call || now < duty.takeover_not_before || state.stopping || !reaches_store(state, now)) {
        return false;
    }
    if (!state.catalog.coordinator) {
        return true;
    }
    if (state.catalog.coordinator->record.host.id == state.settings.self.id) {
        return !holds_coordinator_role(state);
    }
    const auto unanswered = now - duty.last_answered_report;
    const auto wait = duty.settings.takeover_after + duty.settings.takeover_step * succession_rank(state);
    return unanswered >= wait && (reaches_most_peers(state, now) || unanswered >= wait * alone_factor);
}

void set_watch_paces(session_host_state& state, const watch_settings_by_collection& paces, instant now) {
    for (std::size_t i = 0; i < paces.size(); ++i) {
        auto& watch = state.catalog.watches.at(i);
        watch.settings = paces.at(i);
        watch.next_list = std::min(watch.next_list, now + watch.settings.list_interval);
        // A watch that waits is given up: its time is that of the former pace. The next one starts from the same revision.
        watch.watching.reset();
        watch.next_watch = now;
    }
}

void send_reports(session_host_state& state, instant now) {
    auto& duty = state.coordination;
    auto report = make_report(state, now);
    const bool has_news = report.suspected != duty.reported_suspects;
    if (!state.catalog.coordinator || (now < duty.next_report && !has_news)) {
        return;
    }
    duty.reported_suspects = report.suspected;
    duty.next_report = now + duty.settings.report_interval;
    const auto& coordinator = state.catalog.coordinator->record.host.id;
    if (coordinator == state.settings.self.id) {
        receive_membership_report(state, coordinator, report, now);
        return;
    }
    const bool is_silent = now - duty.last_answered_report >= duty.settings.takeover_after / 2;
    report.sequence = duty.next_sequence++;
    duty.unanswered_reports[report.sequence] = now;
    while (duty.unanswered_reports.size() > open_reports) {
        duty.unanswered_reports.erase(duty.unanswered_reports.begin());
    }
    send_peer(state, coordinator, report);
    if (is_silent) {
        for (const auto& host : listed_members(state)) {
            if (host.id != coordinator && host.id != state.settings.self.id) {
                send_peer(state, host.id, report);
            }
        }
    }
}

}  // namespace

bool holds_coordinator_role(const session_host_state& state) {
    const auto& known = state.catalog.coordinator;
    return known && known->record.host.id == state.settings.self.id && known->record.nonce == state.settings.nonce;
}

const std::vector<member>& listed_members(const session_host_state& state) {
    static const std::vector<member> none;
    return state.catalog.members ? state.catalog.members->record.list.hosts : none;
}

void coordinator_role_tick(session_host_state& state, instant now) {
    auto& duty = state.coordination;
    if (!watch_of(state, collection::fleet).listed) {
        duty.last_answered_report = now;
        return;
    }
    const bool holds = holds_coordinator_role(state);
    if (holds != duty.is_coordinator) {
        duty.is_coordinator = holds;
        duty.took_over = now;
        duty.changes.clear();
        duty.status_requests.clear();
        duty.members_call.reset();
        duty.next_members = now + duty.settings.initial_report_wait;
        set_watch_paces(state, holds ? state.settings.coordinator_watches : state.settings.watches, now);
        log_decision(state, holds ? "duty_taken" : "duty_lost", "host=" + state.settings.self.id);
        for (const auto& host : listed_members(state)) {
            if (holds && !duty.hosts.contains(host.id)) {
                duty.hosts[host.id] = {{host, "", host_stage::serving, {}}, now};
            }
        }
    }
    send_reports(state, now);
    if (should_take_over(state, now)) {
        take_over(state, now);
    }
}

void announce_shutdown(session_host_state& state) {
    if (!state.catalog.coordinator) {
        return;
    }
    membership_report report{state.settings.self, state.settings.nonce, host_stage::gone, {}};
    const auto& coordinator = state.catalog.coordinator->record.host.id;
    if (coordinator != state.settings.self.id) {
        send_peer(state, coordinator, report);
        return;
    }
    for (const auto& host : listed_members(state)) {
        if (host.id != coordinator) {
            send_peer(state, host.id, report);
        }
    }
}

void receive_membership_report(session_host_state& state, const host_id& from, const membership_report& report, instant now) {
    auto& duty = state.coordination;
    const auto known = duty.hosts.find(from);
    const bool is_news = known == duty.hosts.end() || known->second.report != report;
    if (is_news && report.stage == host_stage::gone) {
        log_decision(state, "host_gone", "host=" + from);
    }
    duty.hosts[from] = {report, now};
    if (from == state.settings.self.id) {
        duty.last_answered_report = now;
        return;
    }
    if (report.stage == host_stage::gone && state.catalog.coordinator && state.catalog.coordinator->record.host.id == from) {
        // The coordinator ends: its successor need not wait.
        duty.last_answered_report = now - duty.settings.takeover_after;
    }
    membership_answer answer{duty.is_coordinator && reaches_store(state, now) && !state.stopping, report.sequence, {}};
    for (const auto& watch : state.catalog.watches) {
        if (watch.evidence) {
            answer.evidence.push_back({watch.collection_id, watch.last_change, now - *watch.evidence});
        }
    }
    send_peer(state, from, std::move(answer));
}

void receive_membership_answer(session_host_state& state, const host_id& from, const membership_answer& answer, instant now) {
    auto& duty = state.coordination;
    const bool is_coordinator = state.catalog.coordinator && state.catalog.coordinator->record.host.id == from;
    if (!is_coordinator) {
        duty.peers_last_heard[from] = now;
    }
    const auto report = duty.unanswered_reports.find(answer.sequence);
    if (report == duty.unanswered_reports.end()) {
        return;
    }
    if (is_coordinator && answer.coordinates) {
        duty.last_answered_report = std::max(duty.last_answered_report, report->second);
    }
    for (const auto& told : answer.evidence) {
        receive_evidence(watch_of(state, told.collection_id), told, report->second, now);
    }
    update_leader_leases(state, now);
}

void handle_broken_link(session_host_state& state, const host_id& peer, instant now) {
    /// A process that is restarted at once is back within this time.
    constexpr millis return_time{250};
    auto& duty = state.coordination;
    const auto known = duty.hosts.find(peer);
    if (known != duty.hosts.end()) {
        known->second.last_heard = std::min(known->second.last_heard, now - duty.settings.unreachable_after + return_time);
    }
}

std::uint64_t write_record(session_host_state& state, const fleet_record& record, store_revision revision) {
    const auto operation = revision == 0 ? catalog_operation::create : catalog_operation::replace;
    const auto id = state.next_call++;
    state.actions.emplace_back(
        catalog_call{id, collection::fleet, operation, object_name(record), revision, millis{0}, to_text(record)});
    return id;
}

void claim_tick(session_host_state& state, instant now) {
    const auto& self = state.settings.self.id;
    const auto* absence = state.catalog.members ? find_unreachable(state.catalog.members->record, self) : nullptr;
    if (absence == nullptr || state.coordination.claim_call || now < state.coordination.claim_not_before) {
        return;
    }
    const auto known = state.catalog.claims.find(self);
    const bool has_one = known != state.catalog.claims.end();
    if (!has_one || known->second.record.absence != absence->absence) {
        state.coordination.claim_call =
            write_record(state, absence_claim{self, absence->absence}, has_one ? known->second.revision : 0);
    }
}

bool receive_record_answer(session_host_state& state, const catalog_answer& answer, instant now) {
    auto& duty = state.coordination;
    const bool takeover = duty.takeover_call == answer.id;
    const bool members = duty.members_call == answer.id;
    const bool claim = duty.claim_call == answer.id;
    const auto change = std::ranges::find_if(duty.changes, [&](const auto& item) { return item.second.call == answer.id; });
    if (!takeover && !members && !claim && change == duty.changes.end()) {
        return false;
    }
    if (takeover) {
        duty.takeover_call.reset();
        duty.takeover_not_before = now + duty.settings.retry_interval;
    }
    if (members) {
        duty.members_call.reset();
    }
    if (claim) {
        duty.claim_call.reset();
        duty.claim_not_before = now + duty.settings.retry_interval;
    }
    if (change != duty.changes.end()) {
        change->second.call.reset();
        change->second.not_before = answer.status == catalog_status::done ? now : now + duty.settings.retry_interval;
    }
    log_decision(state, "record_written",
                 std::string("what=") +
                     (takeover  ? "coordinator"
                      : members ? "members"
                      : claim   ? "claim"
                                : "leader") +
                     " status=" + to_string(answer.status));
    for (const auto& item : answer.items) {
        adopt_fleet_item(state, item, now);
    }
    if (answer.status != catalog_status::done) {
        // What was written in the end is read back.
        watch_of(state, collection::fleet).next_list = now;
    }
    coordinator_role_tick(state, now);
    leader_changes_tick(state, now);
    return true;
}

}  // namespace camphorstack
