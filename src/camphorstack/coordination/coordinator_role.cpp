#include <algorithm>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/coordination/leader_suspicion.hpp"
#include "camphorstack/coordination/succession.hpp"
#include "camphorstack/session_host/catalog_relay.hpp"
#include "camphorstack/session_host/catalog_updates.hpp"
#include "camphorstack/session_host/shutdown.hpp"

namespace camphorstack {

namespace {

/// A host whose evidence of the fleet records is this old or older neither answers as the coordinator nor takes over.
constexpr millis fleet_evidence_limit{1500};
/// For how long a peer's answer counts when a host decides whether the coordinator or the host itself is cut off.
constexpr millis peer_answer_time{1200};
/// Most reports whose answers are awaited; answers to older reports are ignored.
constexpr std::size_t max_unanswered_reports = 16;
/// Without answers from most peers, a host that reaches the store takes over after this many times the usual wait, since all
/// other hosts may have failed.
constexpr std::int64_t isolated_wait_factor = 3;

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
    return age && *age < fleet_evidence_limit;
}

/// Returns the position of this host in the order of succession: the number of members that precede it, without the coordinator.
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
    const auto sample = sample_peers(listed_members(state), state.settings.self.id, state.catalog.coordinator->record.host.id);
    const auto answering = std::ranges::count_if(sample, [&](const host_id& id) {
        const auto heard = state.coordination.peers_last_heard.find(id);
        return heard != state.coordination.peers_last_heard.end() && now - heard->second < peer_answer_time;
    });
    return static_cast<std::size_t>(answering) * 2 >= sample.size();
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
    const auto& coordination = state.coordination;
    if (coordination.takeover_call || now < coordination.takeover_not_before || state.stopping || !reaches_store(state, now)) {
        return false;
    }
    if (!state.catalog.coordinator) {
        return true;
    }
    if (state.catalog.coordinator->record.host.id == state.settings.self.id) {
        return !holds_coordinator_role(state);
    }
    const auto unanswered = now - coordination.last_answered_report;
    const auto wait = takeover_wait(coordination.settings, succession_rank(state));
    return unanswered >= wait && (reaches_most_peers(state, now) || unanswered >= wait * isolated_wait_factor);
}

void set_watch_settings(session_host_state& state, const watch_settings_by_collection& settings, instant now) {
    for (std::size_t i = 0; i < settings.size(); ++i) {
        auto& watch = state.catalog.watches.at(i);
        watch.settings = settings.at(i);
        watch.next_list = std::min(watch.next_list, now + watch.settings.list_interval);
        // A pending watch is abandoned because its wait follows the former settings. The next watch starts from the same
        // revision.
        watch.watching.reset();
        watch.next_watch = now;
    }
}

void send_reports(session_host_state& state, instant now) {
    auto& coordination = state.coordination;
    auto report = make_report(state, now);
    const bool has_changed = report.suspected != coordination.reported_suspects;
    const bool closes_sessions = closes_idle_sessions(state, now);
    const auto interval = closes_sessions ? coordination.settings.closing_report_interval : coordination.settings.report_interval;
    coordination.next_report = std::min(coordination.next_report, now + interval);
    if (!state.catalog.coordinator || (now < coordination.next_report && !has_changed)) {
        return;
    }
    coordination.reported_suspects = report.suspected;
    coordination.next_report = now + interval;
    const auto& coordinator = state.catalog.coordinator->record.host.id;
    const bool is_coordinator = coordinator == state.settings.self.id;
    if (is_coordinator) {
        receive_membership_report(state, coordinator, report, now);
        if (!closes_sessions) {
            return;
        }
    }
    report.sequence = coordination.next_sequence++;
    coordination.unanswered_reports[report.sequence] = now;
    while (coordination.unanswered_reports.size() > max_unanswered_reports) {
        coordination.unanswered_reports.erase(coordination.unanswered_reports.begin());
    }
    if (!is_coordinator) {
        send_peer(state, coordinator, report);
    }
    if (is_coordinator || is_coordinator_silent(state, now)) {
        for (const auto& id : sample_peers(listed_members(state), state.settings.self.id, coordinator)) {
            send_peer(state, id, report);
        }
    }
}

/// Tells the other members who coordinates now, so that they neither wait for their next look at the store nor all call it.
void announce_coordinator(session_host_state& state) {
    const coordinator_update update{state.catalog.coordinator->record, state.catalog.coordinator->revision};
    for (const auto& host : listed_members(state)) {
        if (host.id != state.settings.self.id) {
            send_peer(state, host.id, update);
        }
    }
}

}  // namespace

bool holds_coordinator_role(const session_host_state& state) {
    const auto& known = state.catalog.coordinator;
    return known && known->record.host.id == state.settings.self.id && known->record.nonce == state.settings.nonce;
}

void request_role_confirmation(session_host_state& state, instant now) {
    auto& fleet = watch_of(state, collection::fleet);
    if (!fleet.listing) {
        fleet.next_list = now;
    }
}

bool confirms_role(session_host_state& state, instant since, instant now) {
    const auto& coordination = state.coordination;
    const auto& evidence = watch_of(state, collection::fleet).evidence;
    const bool may_act = now - coordination.role_changed_at >=
                         coordination.settings.coordinator_lease + coordination.settings.coordinator_lease_margin;
    const bool confirmed = evidence && *evidence >= since && now - *evidence < coordination.settings.coordinator_lease &&
                           holds_coordinator_role(state);
    if (!confirmed) {
        // A confirmation that has expired while the host had to wait is requested again.
        request_role_confirmation(state, now);
    }
    return may_act && confirmed;
}

bool is_coordinator_silent(const session_host_state& state, instant now) {
    const auto& coordination = state.coordination;
    return now - coordination.last_answered_report >= coordination.settings.takeover_after / 2;
}

const std::vector<member>& listed_members(const session_host_state& state) {
    static const std::vector<member> none;
    return state.catalog.members ? state.catalog.members->record.list.hosts : none;
}

void coordinator_role_tick(session_host_state& state, instant now) {
    auto& coordination = state.coordination;
    if (!watch_of(state, collection::fleet).listed) {
        coordination.last_answered_report = now;
        return;
    }
    const bool holds = holds_coordinator_role(state);
    if (holds != coordination.is_coordinator) {
        coordination.is_coordinator = holds;
        coordination.role_changed_at = now;
        coordination.changes.clear();
        coordination.status_requests.clear();
        coordination.members_call.reset();
        // Nothing was observed while another host was the coordinator.
        coordination.suspected_since.clear();
        coordination.missing_since.clear();
        coordination.replaced_since.clear();
        coordination.next_members = now + coordination.settings.initial_report_wait;
        set_watch_settings(state, holds ? state.settings.coordinator_watches : state.settings.watches, now);
        log_decision(state, holds ? "duty_taken" : "duty_lost", "host=" + state.settings.self.id);
        for (const auto& host : listed_members(state)) {
            if (holds && !coordination.hosts.contains(host.id)) {
                coordination.hosts[host.id] = {{host, "", host_stage::serving, {}}, now};
            }
        }
        if (holds) {
            announce_coordinator(state);
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
    membership_report report{state.settings.self, state.settings.nonce, host_stage::exiting, {}};
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
    auto& coordination = state.coordination;
    const auto known = coordination.hosts.find(from);
    const bool has_changed = known == coordination.hosts.end() || known->second.report != report;
    if (has_changed && report.stage == host_stage::exiting) {
        log_decision(state, "host_gone", "host=" + from);
    }
    coordination.hosts[from] = {report, now};
    update_discounted_suspicions(state, from, report);
    if (from == state.settings.self.id) {
        coordination.last_answered_report = now;
        return;
    }
    if (report.stage == host_stage::exiting && state.catalog.coordinator && state.catalog.coordinator->record.host.id == from) {
        // The coordinator is about to exit, so its successor does not have to wait.
        coordination.last_answered_report = now - coordination.settings.takeover_after;
    }
    membership_answer answer{coordination.is_coordinator && reaches_store(state, now) && !state.stopping, report.sequence, {}};
    for (const auto& watch : state.catalog.watches) {
        if (watch.evidence) {
            answer.evidence.push_back({watch.collection_id, watch.last_change, now - *watch.evidence});
        }
    }
    send_peer(state, from, std::move(answer));
}

void receive_membership_answer(session_host_state& state, const host_id& from, const membership_answer& answer, instant now) {
    auto& coordination = state.coordination;
    const bool is_coordinator = state.catalog.coordinator && state.catalog.coordinator->record.host.id == from;
    if (!is_coordinator) {
        coordination.peers_last_heard[from] = now;
    }
    const auto report = coordination.unanswered_reports.find(answer.sequence);
    if (report == coordination.unanswered_reports.end()) {
        return;
    }
    coordination.last_heard_report = std::max(coordination.last_heard_report, report->second);
    if (is_coordinator && answer.coordinates) {
        coordination.last_answered_report = std::max(coordination.last_answered_report, report->second);
    }
    for (const auto& evidence : answer.evidence) {
        auto& watch = watch_of(state, evidence.collection_id);
        if (note_reported_change(watch, evidence, now)) {
            log_decision(state, "change_reported",
                         std::string("collection=") + to_string(evidence.collection_id) + " from=" + from +
                             " change=" + std::to_string(evidence.last_change) + " known=" + std::to_string(watch.last_change));
        }
        if (!lacks_change(watch, evidence) || !request_change(state, evidence.collection_id, evidence.last_change, from, now)) {
            receive_evidence(watch, evidence, report->second, now);
        }
    }
    update_leader_leases(state, now);
}

void handle_broken_link(session_host_state& state, const host_id& peer, instant now) {
    /// A process that is restarted at once reconnects within this time.
    constexpr millis restart_time{250};
    auto& coordination = state.coordination;
    const auto known = coordination.hosts.find(peer);
    if (known != coordination.hosts.end()) {
        known->second.last_heard =
            std::min(known->second.last_heard, now - coordination.settings.unreachable_after + restart_time);
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
    const auto* unreachable = state.catalog.members ? find_unreachable(state.catalog.members->record, self) : nullptr;
    if (unreachable == nullptr || state.coordination.claim_call || now < state.coordination.claim_not_before) {
        return;
    }
    const auto known = state.catalog.claims.find(self);
    const bool has_claim = known != state.catalog.claims.end();
    if (!has_claim || known->second.record.interval != unreachable->interval) {
        state.coordination.claim_call =
            write_record(state, unreachable_claim{self, unreachable->interval}, has_claim ? known->second.revision : 0);
    }
}

bool receive_record_answer(session_host_state& state, const catalog_answer& answer, instant now) {
    auto& coordination = state.coordination;
    const bool is_takeover = coordination.takeover_call == answer.id;
    const bool is_member_list = coordination.members_call == answer.id;
    const bool is_claim = coordination.claim_call == answer.id;
    const auto change =
        std::ranges::find_if(coordination.changes, [&](const auto& item) { return item.second.pending_call == answer.id; });
    if (!is_takeover && !is_member_list && !is_claim && change == coordination.changes.end()) {
        return false;
    }
    if (is_takeover) {
        coordination.takeover_call.reset();
        coordination.takeover_not_before = now + coordination.settings.retry_interval;
    }
    if (is_member_list) {
        coordination.members_call.reset();
    }
    if (is_claim) {
        coordination.claim_call.reset();
        coordination.claim_not_before = now + coordination.settings.retry_interval;
    }
    if (change != coordination.changes.end()) {
        change->second.pending_call.reset();
        change->second.not_before = answer.status == catalog_status::done ? now : now + coordination.settings.retry_interval;
    }
    log_decision(state, "record_written",
                 std::string("what=") +
                     (is_takeover      ? "coordinator"
                      : is_member_list ? "members"
                      : is_claim       ? "claim"
                                       : "leader") +
                     " status=" + to_string(answer.status));
    for (const auto& item : answer.items) {
        adopt_fleet_item(state, item, now);
    }
    if (answer.status != catalog_status::done) {
        // The record that the store holds now is read again.
        watch_of(state, collection::fleet).next_list = now;
    }
    coordinator_role_tick(state, now);
    leader_changes_tick(state, now);
    return true;
}

}  // namespace camphorstack
