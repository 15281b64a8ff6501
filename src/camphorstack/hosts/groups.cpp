#include "camphorstack/hosts/groups.hpp"

#include <algorithm>

#include "camphorstack/hosts/host_state.hpp"

namespace camphorstack {

namespace {

// Longer than a planned switchover takes; data centres and endpoints must be free of new work after 3 s.
constexpr millis owner_move_delay{1500};

local_group* slot_of_connection(host_state& state, connection_id connection) {
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

/// Carries out or translates what a group asked for.
struct group_action_visitor {
    host_state& state;
    const local_group& slot;
    instant now;
    host_actions& actions;

    void operator()(const open_connection& action) const {
        this->state.connections[action.connection] = this->slot.group.id;
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

void carry_out(host_state& state, const local_group& slot, const group_actions& wanted, instant now, host_actions& actions) {
    for (const auto& action : wanted) {
        std::visit(group_action_visitor{state, slot, now, actions}, action);
    }
}

local_group& slot_for(host_state& state, const database_id& id) {
    auto& slot = state.groups[id];
    if (slot.group.id.empty()) {
        slot.group.id = id;
        slot.group.settings = state.settings.group;
    }
    return slot;
}

group_duty duty_of(const host_state& state, const group_hosts& hosts) {
    const auto& self = state.settings.self.id;
    // A host that cannot prove that it is part of the fleet must not supervise: it may believe that it is alone.
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

void configure(host_state& state, const database& group, instant now, host_actions& actions) {
    auto& slot = slot_for(state, group.id);
    group_actions wanted;
    group_configure(slot.group, group, usable_endpoints(*state.known.store.content, group), now, wanted);
    carry_out(state, slot, wanted, now, actions);
}

void update_duty(host_state& state, local_group& slot, instant now, host_actions& actions) {
    const auto duty = duty_of(state, slot.hosts);
    if (duty == slot.duty) {
        return;
    }
    slot.duty = duty;
    group_actions wanted;
    group_set_duty(slot.group, duty, now, wanted);
    carry_out(state, slot, wanted, now, actions);
}

void update_duties(host_state& state, instant now, host_actions& actions) {
    for (auto& [id, slot] : state.groups) {
        update_duty(state, slot, now, actions);
    }
}

/// A group that left the document keeps its endpoints until nothing is in flight, but takes no new work.
void retire_missing_groups(host_state& state, instant now, host_actions& actions) {
    for (auto& [id, slot] : state.groups) {
        if (find_database(*state.known.store.content, id) == nullptr) {
            group_actions wanted;
            group_configure(slot.group, database{id, "", {}}, {}, now, wanted);
            carry_out(state, slot, wanted, now, actions);
            slot.hosts = {};
        }
    }
}

/// True if the document on which ownership rests has changed. A change of states moves owners only after the present owners had
/// the time to move the primaries: an owner that promotes while another one's writes are in flight would leave these unknown.
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

void choose_hosts(host_state& state, const database& group, const std::vector<member>& candidates, instant now,
                  host_actions& actions) {
    const auto* settled = find_database(*state.ownership_document, group.id);
    auto& slot = slot_for(state, group.id);
    const auto hosts = choose_group_hosts(settled == nullptr ? group : *settled, *state.ownership_document, candidates);
    record_owner_change(state, group.id, slot.hosts, hosts, now, actions);
    slot.hosts = hosts;
}

template <typename Function>
void with_slot(host_state& state, local_group* slot, instant now, host_actions& actions, Function function) {
    if (slot == nullptr) {
        return;
    }
    group_actions wanted;
    function(*slot, wanted);
    carry_out(state, *slot, wanted, now, actions);
}

}  // namespace

void refresh_groups(host_state& state, instant now, host_actions& actions) {
    const auto content = state.known.store.content;
    if (content->version != state.last_configured) {
        for (const auto& group : content->databases) {
            configure(state, group, now, actions);
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
            choose_hosts(state, group, candidates, now, actions);
        }
        state.last_candidates = std::move(candidates);
    }
    update_duties(state, now, actions);
}

void tick_groups(host_state& state, instant now, host_actions& actions) {
    for (auto& [id, slot] : state.groups) {
        with_slot(state, &slot, now, actions,
                  [&](local_group& each, group_actions& wanted) { group_tick(each.group, now, wanted); });
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
    with_slot(state, &found->second, now, actions,
              [&](local_group& slot, group_actions& wanted) { group_submit(slot.group, origin, request, now, wanted); });
}

void receive_endpoint_connected(host_state& state, connection_id connection, instant now, host_actions& actions) {
    with_slot(state, slot_of_connection(state, connection), now, actions,
              [&](local_group& slot, group_actions& wanted) { group_connected(slot.group, connection, now, wanted); });
}

void receive_endpoint_closed(host_state& state, connection_id connection, instant now, host_actions& actions) {
    with_slot(state, slot_of_connection(state, connection), now, actions,
              [&](local_group& slot, group_actions& wanted) { group_closed(slot.group, connection, now, wanted); });
    state.connections.erase(connection);
}

void receive_endpoint_answer(host_state& state, const endpoint_answered& event, instant now, host_actions& actions) {
    with_slot(state, slot_of_connection(state, event.connection), now, actions, [&](local_group& slot, group_actions& wanted) {
        group_answered(slot.group, event.connection, event.answer, now, wanted);
    });
}

void notify_group_of_term(host_state& state, const database_id& database, term_number term, instant now, host_actions& actions) {
    const auto found = state.groups.find(database);
    with_slot(state, found == state.groups.end() ? nullptr : &found->second, now, actions,
              [&](local_group& slot, group_actions& wanted) { group_term_reserved(slot.group, term, now, wanted); });
}

std::size_t requests_in_groups(const host_state& state) {
    std::size_t total = 0;
    for (const auto& [id, slot] : state.groups) {
        total += group_in_flight(slot.group);
    }
    return total;
}

}  // namespace camphorstack
