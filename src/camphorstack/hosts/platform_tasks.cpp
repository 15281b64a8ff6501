#include "camphorstack/hosts/platform_tasks.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/document/sections.hpp"
#include "camphorstack/hosts/groups.hpp"
#include "camphorstack/hosts/host_state.hpp"
#include "camphorstack/hosts/propagation.hpp"

namespace camphorstack {

namespace {

constexpr const char* document_object = "document";
constexpr const char* members_object = "members";
// A host that misses an epoch has no share for a while. One that stays within the recency bound of 2 s sees every epoch if they
// are at least this far apart.
constexpr millis members_check_interval{3000};
constexpr millis host_list_interval{5000};
constexpr millis term_retry{400};

void start_call(host_state& state, platform_purpose purpose, platform_call call, const database_id& database, instant now,
                host_actions& actions) {
    call.id = state.platform.next_call++;
    state.platform.open[call.id] = {purpose, now, database};
    actions.emplace_back(std::move(call));
}

bool is_open(const host_state& state, platform_purpose purpose) {
    return std::ranges::any_of(state.platform.open, [&](const auto& entry) { return entry.second.purpose == purpose; });
}

bool is_watcher(const host_state& state) {
    return state.watchers.empty() || std::ranges::binary_search(state.watchers, state.settings.self.id);
}

/// The first watcher, in id order, that this host believes alive keeps the agreed member list.
bool keeps_member_list(const host_state& state) {
    if (state.watchers.empty()) {
        const auto candidates = owner_candidates(state.membership);
        return !candidates.empty() && candidates.front().id == state.settings.self.id;
    }
    for (const auto& watcher : state.watchers) {
        if (watcher == state.settings.self.id) {
            return true;
        }
        if (state_of(state.membership, watcher) == member_state::alive) {
            return false;
        }
    }
    return false;
}

void confirm(host_state& state, instant now, host_actions& actions) {
    if (now < state.platform.next_confirm || !is_watcher(state)) {
        return;
    }
    state.platform.next_confirm = now + state.settings.confirm_interval;
    if (!is_open(state, platform_purpose::confirm_document)) {
        start_call(state, platform_purpose::confirm_document, {0, platform_operation::read, document_object, 0, ""}, "", now,
                   actions);
    }
    if (!is_open(state, platform_purpose::confirm_members)) {
        start_call(state, platform_purpose::confirm_members, {0, platform_operation::read, members_object, 0, ""}, "", now,
                   actions);
    }
    if (!is_open(state, platform_purpose::watch_document) && state.platform.reachable) {
        const auto version = state.known.store.content->version;
        start_call(state, platform_purpose::watch_document, {0, platform_operation::watch, document_object, version, ""}, "", now,
                   actions);
    }
}

void keep_member_list(host_state& state, instant now, host_actions& actions) {
    if (now < state.platform.next_members_check) {
        return;
    }
    state.platform.next_members_check = now + members_check_interval;
    if (!keeps_member_list(state) || is_open(state, platform_purpose::write_members)) {
        return;
    }
    const auto proposed = proposed_members(state.membership, state.members, state.settings.dead_time, now);
    if (proposed) {
        start_call(state, platform_purpose::write_members,
                   {0, platform_operation::write, members_object, state.members.epoch, format_members(*proposed)}, "", now,
                   actions);
    }
}

void refresh_host_list(host_state& state, instant now, host_actions& actions) {
    if (now < state.platform.next_host_list || is_open(state, platform_purpose::list_hosts)) {
        return;
    }
    state.platform.next_host_list = now + host_list_interval;
    // Once the fleet is known, probes spread changes; only the keeper of the member list goes on asking.
    if (state.members.epoch == 0 || keeps_member_list(state)) {
        start_call(state, platform_purpose::list_hosts, {0, platform_operation::hosts, "", 0, ""}, "", now, actions);
    }
}

/// Own evidence needs both objects: the age is that of the older read.
void note_evidence(host_state& state, bool confirmed, instant observed) {
    const watcher_evidence seen{state.known.store.content->version, state.members.epoch, confirmed, observed};
    record_own_evidence(state.evidence, state.settings.self.id, seen);
}

void receive_document(host_state& state, const open_platform_call& call, const platform_answer& answer, instant now,
                      host_actions& actions) {
    if (answer.status == platform_status::unavailable) {
        if (call.purpose == platform_purpose::confirm_document) {
            note_evidence(state, false, call.sent);
        }
        return;
    }
    if (answer.status == platform_status::ok && adopt_document(state, answer.value, answer.version, now, actions)) {
        push_document(state, actions);
    }
    // A document that this host cannot read must not be reported as in force.
    const bool in_force = answer.status == platform_status::ok && answer.version <= state.known.store.content->version;
    const auto members_at = state.platform.members_confirmed_at;
    if (call.purpose == platform_purpose::confirm_document && in_force && members_at) {
        note_evidence(state, true, std::min(call.sent, *members_at));
    }
}

void receive_members(host_state& state, const open_platform_call& call, const platform_answer& answer, instant now,
                     host_actions& actions) {
    const bool is_read = call.purpose == platform_purpose::confirm_members;
    if (is_read && answer.status != platform_status::unavailable) {
        state.platform.members_confirmed_at = call.sent;
    }
    if (answer.version > state.members.epoch && !answer.value.empty()) {
        try {
            adopt_members(state, {answer.version, parse_members(answer.value)}, now, actions);
        } catch (const format_error& problem) {
            record_decision(state, {now, "members_rejected", "members", problem.what()}, actions);
        }
    }
}

term_record read_record(const platform_answer& answer) {
    return answer.value.empty() ? term_record{} : parse_term_record(answer.value);
}

/// Ends a reservation; term 0 means that the platform did not answer and the reservation is tried again later.
void finish_term(host_state& state, const database_id& database, term_number term, instant now, host_actions& actions) {
    auto& task = state.platform.terms[database];
    task.open = false;
    if (term == 0) {
        task.retry_at = now + term_retry;
    } else {
        task.above = 0;
    }
    notify_group_of_term(state, database, term, now, actions);
}

void write_term(host_state& state, const database_id& database, const term_record& current, std::uint64_t version, instant now,
                host_actions& actions) {
    auto& task = state.platform.terms[database];
    task.reservation_id =
        state.settings.self.id + "/" + state.settings.start_nonce + "/" + std::to_string(state.platform.next_reservation_id++);
    task.requested_term = std::max(current.last_term, task.above) + 1;
    const auto value = format_term_record({task.requested_term, task.reservation_id});
    start_call(state, platform_purpose::write_term, {0, platform_operation::write, "terms/" + database, version, value}, database,
               now, actions);
}

void receive_term(host_state& state, const open_platform_call& call, const platform_answer& answer, instant now,
                  host_actions& actions) {
    auto& task = state.platform.terms[call.database];
    if (answer.status == platform_status::unavailable) {
        // A write whose answer was lost is settled by the next read, which compares the tag.
        finish_term(state, call.database, 0, now, actions);
        return;
    }
    if (call.purpose == platform_purpose::write_term && answer.status == platform_status::ok) {
        const auto term = std::exchange(task.requested_term, 0);
        finish_term(state, call.database, term, now, actions);
        return;
    }
    const auto current = read_record(answer);
    const bool mine =
        task.requested_term != 0 && current.writer == task.reservation_id && current.last_term == task.requested_term;
    if (mine && current.last_term > task.above) {
        task.requested_term = 0;
        finish_term(state, call.database, current.last_term, now, actions);
        return;
    }
    write_term(state, call.database, current, answer.version, now, actions);
}

}  // namespace

void platform_tick(host_state& state, instant now, host_actions& actions) {
    confirm(state, now, actions);
    keep_member_list(state, now, actions);
    refresh_host_list(state, now, actions);
    for (auto& [database, task] : state.platform.terms) {
        if (task.above != 0 && !task.open && now >= task.retry_at) {
            start_term_reservation(state, database, task.above, now, actions);
        }
    }
}

void receive_platform_answer(host_state& state, const platform_answer& answer, instant now, host_actions& actions) {
    const auto found = state.platform.open.find(answer.id);
    if (found == state.platform.open.end()) {
        return;
    }
    const auto call = found->second;
    state.platform.open.erase(found);
    if (call.purpose != platform_purpose::watch_document) {
        state.platform.reachable = answer.status != platform_status::unavailable;
    }
    switch (call.purpose) {
        case platform_purpose::confirm_document:
        case platform_purpose::watch_document:
            receive_document(state, call, answer, now, actions);
            break;
        case platform_purpose::confirm_members:
        case platform_purpose::write_members:
            receive_members(state, call, answer, now, actions);
            break;
        case platform_purpose::list_hosts:
            add_members(state.membership, answer.hosts, now);
            break;
        case platform_purpose::read_term:
        case platform_purpose::write_term:
            receive_term(state, call, answer, now, actions);
            break;
    }
}

void start_term_reservation(host_state& state, const database_id& database, term_number above, instant now,
                            host_actions& actions) {
    auto& task = state.platform.terms[database];
    task.above = std::max(task.above, above);
    if (task.open) {
        return;
    }
    task.open = true;
    start_call(state, platform_purpose::read_term, {0, platform_operation::read, "terms/" + database, 0, ""}, database, now,
               actions);
}

}  // namespace camphorstack
