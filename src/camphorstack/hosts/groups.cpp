#include "camphorstack/hosts/groups.hpp"

#include <algorithm>

#include "camphorstack/hosts/host_state.hpp"

namespace camphorstack {

namespace {

// Delay before a new document moves owners. It is longer than a planned switchover takes, and short enough that data centres and
// endpoints that were taken out of service receive no new work after 3 s.
constexpr millis owner_move_delay{1500};

local_group* group_of_connection(host_state& state, connection_id connection) {
    const auto found = state.connections.find(connection);
    return found == state.connections.end() ? nullptr : &state.groups.at(found->second);
}

void reply_to_origin(host_state& state, const reply_to_request& answer, host_actions& actions) {
    if (answer.origin == state.settings.self.id) {
        state.local_replies.push_back(answer.reply);
    } else {
        send_peer(state, answer.origin, forward_reply{answer.reply}, actions);
    }
}

/// Carries out the actions of a group, or translates them into actions of the host.
struct group_action_visitor {
    host_state& state;
    const local_group& entry;
    instant now;
    host_actions& actions;

    void operator()(const open_connection& action) const {
        this->state.connections[action.connection] = this->entry.group.id;
        this->actions.emplace_back(action);
    }
    void operator()(const close_connection& action) const {
        this->state.connections.erase(action.connection);
        this->actions.emplace_back(action);
    }
    void operator()(const send_call& action) const { this->actions.emplace_back(action); }
    void operator()(const reply_to_request& answer) const { reply_to_origin(this->state, answer, this->actions); }
    void operator()(const reserve_term& request) const {
        start_term_reservation(this->state, request.database, request.above, this->now, this->actions);
    }
    void operator()(const decision_record& record) const { record_decision(this->state, record, this->actions); }
};

void carry_out(host_state& state, const local_group& entry, const group_actions& requested, instant now, host_actions& actions) {
    for (const auto& action : requested) {
        std::visit(group_action_visitor{state, entry, now, actions}, action);
    }
}

local_group& find_or_add_group(host_state& state, const database_id& id) {
    auto& entry = state.groups[id];
    if (entry.group.id.empty()) {
        entry.group.id = id;
        entry.group.settings = state.settings.group;
    }
    return entry;
}

group_duty duty_of(const host_state& state, const group_hosts& hosts) {
    const auto& self = state.settings.self.id;
    // A host without recent evidence must not act as owner: it may be partitioned from the fleet and regard itself as the owner
    // of every database.
    if (hosts.owner == self) {
        return state.serving == recency::recent && !state.stopping ? group_duty::owner : group_duty::standby;
    }
    return hosts.standby == self ? group_duty::standby : group_duty::none;
}

std::set<endpoint_id> usable_endpoints(const document& content, const database& group) {
    std::set<endpoint_id> result;
    for (const auto& candidate : group.endpoints) {
        if (may_receive_work(content, candidate)) {
            result.insert(candidate.id);
        }
    }
    return result;
}

void record_owner_change(host_state& state, const database_id& id, const group_hosts& before, const group_hosts& after,
                         instant now, host_actions& actions) {
    if (before.owner != after.owner) {
        record_decision(state,
                        {now, "owner_moved", id, "from=" + before.owner + " to=" + after.owner + " standby=" + after.standby},
                        actions);
    }
}

void configure_group(host_state& state, const database& group, instant now, host_actions& actions) {
    auto& entry = find_or_add_group(state, group.id);
    group_actions requested;
    group_configure(entry.group, group, usable_endpoints(*state.known.store.content, group), now, requested);
    carry_out(state, entry, requested, now, actions);
}

void update_duty(host_state& state, local_group& entry, instant now, host_actions& actions) {
    const auto duty = duty_of(state, entry.hosts);
    if (duty == entry.duty) {
        return;
    }
    entry.duty = duty;
    group_actions requested;
    group_set_duty(entry.group, duty, now, requested);
    carry_out(state, entry, requested, now, actions);
}

void update_duties(host_state& state, instant now, host_actions& actions) {
    for (auto& [id, entry] : state.groups) {
        update_duty(state, entry, now, actions);
    }
}

/// Removes the endpoints, the owner and the standby of each group that is no longer in the document. The connections to the
/// endpoints are closed at once, so calls in flight are handled as lost.
void retire_missing_groups(host_state& state, instant now, host_actions& actions) {
    for (auto& [id, entry] : state.groups) {
        if (find_database(*state.known.store.content, id) == nullptr) {
            group_actions requested;
            group_configure(entry.group, database{id, "", {}}, {}, now, requested);
            carry_out(state, entry, requested, now, actions);
            entry.hosts = {};
        }
    }
}

/// Returns true if the document that determines the owners has changed. A new document moves owners only after
/// `owner_move_delay`, in which the current owners move the primaries: if a new owner promoted an instance while writes of the
/// former owner are in flight, the outcome of these writes would be unknown.
bool update_ownership_document(host_state& state, instant now) {
    const auto& current = state.known.store.content;
    const bool first = state.ownership_document->version == 0;
    const bool due = now - state.configured_at >= owner_move_delay;
    if (current->version == state.ownership_document->version || !(first || due)) {
        return false;
    }
    state.ownership_document = current;
    return true;
}

void choose_owner_and_standby(host_state& state, const database& group, const std::vector<member>& candidates, instant now,
                              host_actions& actions) {
    const auto* ownership_group = find_database(*state.ownership_document, group.id);
    auto& entry = find_or_add_group(state, group.id);
    const auto hosts =
        choose_group_hosts(ownership_group == nullptr ? group : *ownership_group, *state.ownership_document, candidates);
    record_owner_change(state, group.id, entry.hosts, hosts, now, actions);
    entry.hosts = hosts;
}

template <typename Function>
void apply_to_group(host_state& state, local_group* entry, instant now, host_actions& actions, Function function) {
    if (entry == nullptr) {
        return;
    }
    group_actions requested;
    function(*entry, requested);
    carry_out(state, *entry, requested, now, actions);
}

}  // namespace

void refresh_groups(host_state& state, instant now, host_actions& actions) {
    const auto content = state.known.store.content;
    if (content->version != state.last_configured) {
        for (const auto& group : content->databases) {
            configure_group(state, group, now, actions);
        }
        retire_missing_groups(state, now, actions);
        state.last_configured = content->version;
        state.configured_at = now;
    }
    const bool new_document = update_ownership_document(state, now);
    if (!new_document && !state.members_changed) {
        update_duties(state, now, actions);
        return;
    }
    state.members_changed = false;
    auto candidates = owner_candidates(state.membership);
    if (new_document || candidates != state.last_candidates) {
        for (const auto& group : content->databases) {
            choose_owner_and_standby(state, group, candidates, now, actions);
        }
        state.last_candidates = std::move(candidates);
    }
    update_duties(state, now, actions);
}

void tick_groups(host_state& state, instant now, host_actions& actions) {
    for (auto& [id, entry] : state.groups) {
        apply_to_group(state, &entry, now, actions,
                       [&](local_group& each, group_actions& requested) { group_tick(each.group, now, requested); });
    }
}

void submit_to_group(host_state& state, const host_id& origin, const database_request& request, instant now,
                     host_actions& actions) {
    const auto found = state.groups.find(request.database);
    if (found == state.groups.end()) {
        reply_to_origin(
            state, {origin, {request.id, request_outcome::not_run, refusal::owner_unreachable, "unknown database", {}, "", ""}},
            actions);
        return;
    }
    apply_to_group(state, &found->second, now, actions, [&](local_group& entry, group_actions& requested) {
        group_submit(entry.group, origin, request, now, requested);
    });
}

void receive_endpoint_connected(host_state& state, connection_id connection, instant now, host_actions& actions) {
    apply_to_group(
        state, group_of_connection(state, connection), now, actions,
        [&](local_group& entry, group_actions& requested) { group_connected(entry.group, connection, now, requested); });
}

void receive_endpoint_closed(host_state& state, connection_id connection, instant now, host_actions& actions) {
    apply_to_group(state, group_of_connection(state, connection), now, actions,
                   [&](local_group& entry, group_actions& requested) { group_closed(entry.group, connection, now, requested); });
    state.connections.erase(connection);
}

void receive_endpoint_answer(host_state& state, const endpoint_answered& event, instant now, host_actions& actions) {
    apply_to_group(state, group_of_connection(state, event.connection), now, actions,
                   [&](local_group& entry, group_actions& requested) {
                       group_answered(entry.group, event.connection, event.answer, now, requested);
                   });
}

void notify_group_of_term(host_state& state, const database_id& database, term_number term, instant now, host_actions& actions) {
    const auto found = state.groups.find(database);
    apply_to_group(state, found == state.groups.end() ? nullptr : &found->second, now, actions,
                   [&](local_group& entry, group_actions& requested) { group_term_reserved(entry.group, term, now, requested); });
}

std::size_t requests_in_groups(const host_state& state) {
    std::size_t total = 0;
    for (const auto& [id, entry] : state.groups) {
        total += group_in_flight(entry.group);
    }
    return total;
}

}  // namespace camphorstack
