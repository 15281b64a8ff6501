#include <algorithm>
#include <utility>

#include "camphorstack/coordination/candidates.hpp"
#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/coordination/endpoint_requests.hpp"
#include "camphorstack/coordination/leader_suspicion.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

/// Why a leader must be replaced.
struct change_reason {
    std::string text;
    bool planned = false;  ///< Open transactions at the leader may end first.
};

/// Returns true if the store is reachable and no outage has ended recently.
bool has_store_settled(const session_host_state& state, instant now) {
    return !state.coordination.store_was_unreachable &&
           now - state.coordination.store_reachable_since >= state.coordination.settings.store_settle_time;
}

/// Returns true if a condition has held for at least `time`. `since` keeps when the condition began to hold for each endpoint.
bool holds_for(std::map<endpoint_id, instant>& since, const endpoint_id& id, bool holds, millis time, instant now) {
    if (!holds) {
        since.erase(id);
        return false;
    }
    return now - since.try_emplace(id, now).first->second >= time;
}

/// Returns true if the leader is a replica by its own entry in the store, and another endpoint of its database is a primary by
/// its own. The platform may have carried out a promotion late that this fleet no longer waits for.
bool is_another_primary(const session_host_state& state, const endpoint_entry& leader) {
    return !leader.is_primary && std::ranges::any_of(state.catalog.endpoints, [&](const auto& item) {
        return item.second.database == leader.database && item.second.is_primary;
    });
}

std::optional<change_reason> reason_to_change(session_host_state& state, const leader_record& record, instant now) {
    auto& coordination = state.coordination;
    const auto* entry = find_endpoint_of(state, record.database, record.endpoint);
    const bool missing = entry == nullptr;
    if (holds_for(coordination.missing_since, record.endpoint, missing && has_store_settled(state, now),
                  coordination.settings.endpoint_missing_timeout, now)) {
        return change_reason{"endpoint_gone", true};
    }
    if (missing) {
        return std::nullopt;
    }
    const bool suspected = is_leader_suspected(state, record.endpoint, now);
    if (holds_for(coordination.suspected_since, record.endpoint, suspected, coordination.settings.suspicion_time, now)) {
        return change_reason{"endpoint_suspected", false};
    }
    if (entry->draining) {
        return change_reason{"endpoint_draining", true};
    }
    if (state.catalog.evacuated.contains(entry->location)) {
        return change_reason{"data_centre_evacuated", true};
    }
    const bool replaced = is_another_primary(state, *entry) && has_store_settled(state, now);
    if (holds_for(coordination.replaced_since, record.endpoint, replaced, coordination.settings.replaced_time, now)) {
        return change_reason{"another_primary", false};
    }
    return std::nullopt;
}

void enter_step(session_host_state& state, leader_change& change, change_step step, instant now) {
    change.step = step;
    change.step_began = now;
    log_decision(state, "leader_change",
                 "database=" + log_value(change.record.database) + " endpoint=" + log_value(change.record.endpoint) +
                     " round=" + std::to_string(change.record.round) + " step=" + to_string(step) + " reason=" + change.reason +
                     (change.target.empty() ? "" : " target=" + log_value(change.target)));
}

/// Returns true if no host has work left on the former leader or may start any: all members have reported this or may not use
/// leaders, or all leases have expired.
bool is_closed(const session_host_state& state, const leader_change& change, instant now) {
    const auto& settings = state.coordination.settings;
    const auto lease_time = settings.leader_lease + settings.leader_lease_margin;
    if (now - change.recorded_at >= lease_time) {
        return true;
    }
    // Claims of unreachable members that were written before the record are known once the store has been asked after the record
    // was written. A host that writes a claim later knows the record.
    const auto& evidence = watch_of(state, collection::fleet).evidence;
    const bool knows_claims = evidence && *evidence >= change.recorded_at;
    const bool all_closed = std::ranges::all_of(listed_members(state), [&](const member& host) {
        return change.closed_hosts.contains(host.id) || (knows_claims && !may_use_leaders(state, host.id, now));
    });
    return all_closed && now - state.coordination.last_removal >= lease_time && !listed_members(state).empty();
}

void write_change(session_host_state& state, leader_change& change, instant now) {
    if (change.pending_call || now < change.not_before) {
        return;
    }
    const auto& stored = state.catalog.leaders[change.record.database];
    if (stored.record.round + 1 != change.record.round) {
        // Another coordinator has changed the record in the meantime.
        change.abandoned = true;
        return;
    }
    change.pending_call = write_record(state, change.record, stored.revision);
}

/// Sends a leader record to all members. Without the message, members whose calls the store rejects or does not answer would
/// notice the change only when their evidence expires.
void send_leader_update(session_host_state& state, const leader_record& record) {
    const auto revision = state.catalog.leaders[record.database].revision;
    for (const auto& host : listed_members(state)) {
        if (host.id != state.settings.self.id) {
            send_peer(state, host.id, leader_update{record, revision});
        }
    }
}

/// Returns true if a change may go on with the candidate. In a planned change, the candidate must have received all that the old
/// leader has, unless the old leader's status stays unknown or the time to catch up is over.
bool may_succeed(const session_host_state& state, const leader_change& change, const endpoint_id& candidate, millis elapsed) {
    const auto& settings = state.coordination.settings;
    if (!change.record.planned || find_endpoint_of(state, change.record.database, change.record.endpoint) == nullptr) {
        return true;
    }
    const auto* old = status_of(change, change.record.endpoint);
    if (old == nullptr) {
        return elapsed >= settings.status_timeout;
    }
    return status_of(change, candidate)->received >= old->received || elapsed >= settings.catch_up_limit;
}

void publish(session_host_state& state, leader_change& change, const endpoint_id& leader, instant now) {
    change.kept = leader == change.record.endpoint;
    change.target = leader;
    change.record.endpoint = leader;
    change.record.phase = leader_phase::serving;
    change.record.planned = false;
    ++change.record.round;
    enter_step(state, change, change_step::publishing, now);
    write_change(state, change, now);
}

void confirm_candidate(session_host_state& state, leader_change& change, const endpoint_id& target, instant now) {
    change.target = target;
    enter_step(state, change, change_step::confirming, now);
    watch_of(state, collection::fleet).next_list = now;
}

/// Returns the endpoint to promote of a database whose primary acknowledges writes before replicas have them.
std::optional<endpoint_id> choose_asynchronous_candidate(const session_host_state& state, const leader_change& change,
                                                         millis elapsed) {
    const auto candidates = candidates_of(state, change);
    const bool timed_out = elapsed >= state.coordination.settings.status_timeout;
    const bool complete = count_known(change, candidates) == candidates.size();
    const auto best = best_candidate(change, without_former_primaries(state, change, candidates, elapsed));
    return best && (complete || timed_out) && may_succeed(state, change, *best, elapsed) ? best : std::nullopt;
}

/// Ends a change without a successor.
void keep_old_leader(session_host_state& state, leader_change& change, instant now) {
    const auto old = change.record.endpoint;
    state.coordination.leaders_kept_at[old] = now;
    log_decision(state, "leader_kept",
                 "database=" + log_value(change.record.database) + " endpoint=" + log_value(old) + " reason=" + change.reason);
    if (change.promotion_sent) {
        // Another endpoint may have become the primary without the old leader's knowledge. The platform decides which one it is.
        confirm_candidate(state, change, old, now);
    } else {
        publish(state, change, old, now);
    }
}

/// Restarts the choice if no endpoint could be chosen. The old leader stays the leader if it is still the primary.
void retry_choice(session_host_state& state, leader_change& change, instant now) {
    change.refused_candidates.clear();
    const auto* status = status_of(change, change.record.endpoint);
    if (status != nullptr && status->is_primary &&
        find_endpoint_of(state, change.record.database, change.record.endpoint) != nullptr) {
        keep_old_leader(state, change, now);
        return;
    }
    const auto replicas = replicas_of(state, change);
    log_decision(state, "leader_change_waits",
                 "database=" + log_value(change.record.database) + " replicas=" + std::to_string(replicas.size()) +
                     " answered=" + std::to_string(count_known(change, replicas)),
                 true);
    change.statuses.clear();
    change.step_began = now;
}

void choose_candidate(session_host_state& state, leader_change& change, instant now) {
    const auto& settings = state.coordination.settings;
    const auto elapsed = now - change.step_began;
    const bool is_synchronous = synchronous_replicas_of(state, change.record.database) > 0;
    auto endpoints = is_synchronous ? replicas_of(state, change) : candidates_of(state, change);
    endpoints.push_back(change.record.endpoint);
    request_statuses(state, change, endpoints, now);
    const auto chosen = is_synchronous ? choose_synchronous_candidate(state, change, elapsed)
                                       : choose_asynchronous_candidate(state, change, elapsed);
    if (chosen) {
        if (*chosen == change.record.endpoint) {
            keep_old_leader(state, change, now);
        } else {
            confirm_candidate(state, change, *chosen, now);
        }
        return;
    }
    if (elapsed >= settings.catch_up_limit) {
        retry_choice(state, change, now);
    }
}

/// Chooses the successor of an endpoint that was promoted only because it had writes that all others lacked. A successor must
/// have received them.
void choose_successor_of_interim(session_host_state& state, leader_change& change, instant now) {
    auto candidates = candidates_of(state, change);
    std::erase(candidates, change.interim);
    if (find_endpoint_of(state, change.record.database, change.interim) == nullptr) {
        change.interim.clear();
        change.statuses.clear();
        change.step_began = now;
        return;
    }
    if (candidates.empty() && change.refused_candidates.empty()) {
        publish(state, change, change.interim, now);
        return;
    }
    auto endpoints = candidates;
    endpoints.push_back(change.interim);
    request_statuses(state, change, endpoints, now);
    const auto* source = status_of(change, change.interim);
    const auto best = best_candidate(change, candidates);
    if (source != nullptr && best && status_of(change, *best)->received >= source->received) {
        confirm_candidate(state, change, *best, now);
    } else if (now - change.step_began >= state.coordination.settings.catch_up_limit) {
        change.refused_candidates.clear();
        change.step_began = now;
    }
}

void confirm(session_host_state& state, leader_change& change, instant now) {
    if (!confirms_role(state, change.step_began, now) || now < change.not_before) {
        return;
    }
    // A successor that has taken the role since the confirmation waits as long before its first call.
    const auto& settings = state.coordination.settings;
    const auto confirmed = evidence_age(state, collection::fleet, now).value_or(settings.coordinator_lease);
    const promotion_call call{state.next_call++,
                              change.record.database,
                              change.target,
                              state.settings.self.id,
                              state.catalog.coordinator->record.fence,
                              settings.coordinator_lease + settings.coordinator_lease_margin - confirmed};
    change.pending_call = call.id;
    change.promotion_sent = true;
    for (const auto& [id, known] : change.statuses) {
        if (known.status.is_primary && id != change.target) {
            change.former_primaries.insert(id);
        }
    }
    const auto* before = status_of(change, change.target);
    change.term_before = before != nullptr && before->is_primary ? before->term : 0;
    state.actions.emplace_back(call);
    enter_step(state, change, change_step::promoting, now);
}

/// Publishes the promoted endpoint as the leader. One that takes no new work only hands its log over to a successor, if there is
/// any.
void finish_promotion(session_host_state& state, leader_change& change, instant now) {
    const auto* entry = find_endpoint_of(state, change.record.database, change.target);
    const bool is_interim = change.target != change.record.endpoint &&
                            synchronous_replicas_of(state, change.record.database) > 0 && entry != nullptr &&
                            !takes_new_work(state, *entry);
    if (!is_interim) {
        demote_former_primaries(state, change, now);
        publish(state, change, change.target, now);
        return;
    }
    change.interim = change.target;
    change.statuses.clear();
    change.refused_candidates.clear();
    enter_step(state, change, change_step::choosing, now);
}

void await_leader(session_host_state& state, leader_change& change, instant now) {
    request_statuses(state, change, {change.target}, now);
    const auto* status = status_of(change, change.target);
    const bool is_primary = status != nullptr && status->is_primary;
    const bool is_late = now - change.step_began >= state.coordination.settings.promotion_timeout;
    // A former primary is still a primary by its own view, before its promotion takes effect in a new term. If no new term
    // begins, the platform took it for the current primary.
    if (is_primary && (status->term > change.term_before || is_late)) {
        finish_promotion(state, change, now);
    } else if (is_late) {
        change.statuses.clear();
        enter_step(state, change, change_step::choosing, now);
    }
}

/// Asks the leader of an unplanned change whether it answers again.
void request_old_status(session_host_state& state, leader_change& change, instant now) {
    if (!change.record.planned) {
        request_statuses(state, change, {change.record.endpoint}, now);
    }
}

void advance(session_host_state& state, leader_change& change, instant now) {
    const auto& stored = state.catalog.leaders[change.record.database];
    switch (change.step) {
        case change_step::recording:
            request_old_status(state, change, now);
            if (stored.record == change.record) {
                change.recorded_at = now;
                send_leader_update(state, change.record);
                watch_of(state, collection::fleet).next_list = now;
                enter_step(state, change, change_step::closing, now);
                closing_tick(state, now);
            } else {
                write_change(state, change, now);
            }
            break;
        case change_step::closing:
            request_old_status(state, change, now);
            if (!is_closed(state, change, now)) {
                break;
            }
            if (may_keep_leader(state, change, now)) {
                keep_old_leader(state, change, now);
            } else {
                change.statuses.clear();
                change.status_requests.clear();
                change.next_status_request = now;
                enter_step(state, change, change_step::choosing, now);
                choose_candidate(state, change, now);
            }
            break;
        case change_step::choosing:
            if (change.interim.empty()) {
                choose_candidate(state, change, now);
            } else {
                choose_successor_of_interim(state, change, now);
            }
            break;
        case change_step::confirming:
            confirm(state, change, now);
            break;
        case change_step::promoting:
            break;
        case change_step::awaiting:
            await_leader(state, change, now);
            break;
        case change_step::publishing:
            if (stored.record != change.record) {
                write_change(state, change, now);
            }
            break;
    }
}

bool is_published(const session_host_state& state, const leader_change& change) {
    const auto stored = state.catalog.leaders.find(change.record.database);
    return change.step == change_step::publishing && stored != state.catalog.leaders.end() &&
           stored->second.record == change.record;
}

/// Returns the only endpoint of the database that is a primary by its own entry in the store; nothing if there is none or more
/// than one.
std::optional<endpoint_id> self_declared_primary(const session_host_state& state, const database_id& database) {
    std::optional<endpoint_id> found;
    for (const auto& [id, entry] : state.catalog.endpoints) {
        if (entry.database == database && entry.is_primary) {
            if (found) {
                return std::nullopt;
            }
            found = id;
        }
    }
    return found;
}

void start_change(session_host_state& state, const leader_record& record, const change_reason& reason, instant now) {
    leader_change change;
    change.record = record;
    change.record.phase = leader_phase::changing;
    change.record.planned = reason.planned;
    ++change.record.round;
    change.reason = reason.text;
    // A predecessor that left the change unfinished may have sent a promotion.
    change.promotion_sent = record.phase == leader_phase::changing;
    enter_step(state, change, change_step::recording, now);
    auto& stored = state.coordination.changes[record.database] = std::move(change);
    write_change(state, stored, now);
}

void create_first_record(session_host_state& state, const database_id& database, instant now) {
    const auto primary = self_declared_primary(state, database);
    if (!primary) {
        return;
    }
    leader_change change;
    change.record = {database, *primary, leader_phase::serving, false, 1};
    change.reason = "first";
    change.target = *primary;
    enter_step(state, change, change_step::publishing, now);
    auto& stored = state.coordination.changes[database] = std::move(change);
    write_change(state, stored, now);
}

}  // namespace

const char* to_string(change_step step) {
    switch (step) {
        case change_step::recording:
            return "recording";
        case change_step::closing:
            return "closing";
        case change_step::choosing:
            return "choosing";
        case change_step::confirming:
            return "confirming";
        case change_step::promoting:
            return "promoting";
        case change_step::awaiting:
            return "awaiting";
        case change_step::publishing:
            return "publishing";
    }
    return "?";
}

const char* to_string(promotion_status status) {
    switch (status) {
        case promotion_status::accepted:
            return "accepted";
        case promotion_status::refused:
            return "refused";
        case promotion_status::not_done:
            return "not_done";
        case promotion_status::no_answer:
            return "no_answer";
    }
    return "?";
}

void leader_changes_tick(session_host_state& state, instant now) {
    auto& coordination = state.coordination;
    const bool store_is_unreachable = !watch_of(state, collection::endpoints).reachable;
    if (coordination.store_was_unreachable && !store_is_unreachable) {
        coordination.store_reachable_since = now;
    }
    coordination.store_was_unreachable = store_is_unreachable;
    if (!coordination.is_coordinator || !watch_of(state, collection::endpoints).listed) {
        return;
    }
    for (const auto& group : state.catalog.content->databases) {
        const auto stored = state.catalog.leaders.find(group.id);
        const bool known = stored != state.catalog.leaders.end() && stored->second.revision > 0;
        if (coordination.changes.contains(group.id)) {
            continue;
        }
        if (!known) {
            create_first_record(state, group.id, now);
        } else if (stored->second.record.phase == leader_phase::changing) {
            // A predecessor left the change unfinished. The record is written again, so that the predecessor can no longer finish
            // the change.
            start_change(state, stored->second.record, {"resumed", stored->second.record.planned}, now);
        } else if (const auto reason = reason_to_change(state, stored->second.record, now)) {
            start_change(state, stored->second.record, *reason, now);
        }
    }
    for (auto& [database, change] : coordination.changes) {
        advance(state, change, now);
    }
    for (const auto& [database, change] : coordination.changes) {
        if (is_published(state, change)) {
            send_leader_update(state, change.record);
            discount_earlier_suspicions(state, change, now);
        }
    }
    std::erase_if(coordination.changes,
                  [&](const auto& item) { return item.second.abandoned || is_published(state, item.second); });
}

void receive_promotion_answer(session_host_state& state, const promotion_answer& answer, instant now) {
    auto& coordination = state.coordination;
    for (auto& [database, change] : coordination.changes) {
        if (change.pending_call != answer.id) {
            continue;
        }
        change.pending_call.reset();
        log_decision(
            state, "promotion_answered",
            "database=" + log_value(database) + " target=" + log_value(change.target) + " status=" + to_string(answer.status));
        if (answer.status == promotion_status::accepted) {
            change.statuses.clear();
            enter_step(state, change, change_step::awaiting, now);
        } else if (answer.status == promotion_status::refused) {
            change.refused_candidates.insert(change.target);
            change.target.clear();
            change.statuses.clear();
            enter_step(state, change, change_step::choosing, now);
        } else {
            change.not_before = now + coordination.settings.retry_interval;
            enter_step(state, change, change_step::confirming, now);
        }
    }
}

}  // namespace camphorstack
