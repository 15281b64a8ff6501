#include "camphorstack/endpoints/group.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "camphorstack/endpoints/dispatch.hpp"
#include "camphorstack/endpoints/polls.hpp"
#include "camphorstack/endpoints/pool.hpp"
#include "camphorstack/endpoints/promotion.hpp"
#include "camphorstack/endpoints/replies.hpp"
#include "camphorstack/endpoints/reports.hpp"
#include "camphorstack/endpoints/suspicion.hpp"
#include "camphorstack/endpoints/switchover.hpp"
#include "camphorstack/endpoints/terms.hpp"
#include "camphorstack/endpoints/transactions.hpp"

namespace camphorstack {

namespace {

/// Draws every conclusion that the last event allows. Promotions come before polls, as both use the control connections.
void advance(group_step& step) {
    if (group_in_flight(step.state) > 0) {
        step.state.last_in_flight_at = step.now;
    }
    suspect_instances(step);
    keep_terms_reserved(step);
    run_switchover(step);
    run_promotion(step);
    poll_instances(step);
    dispatch_requests(step);
}

void drop_instance(group_step& step, const endpoint_id& id) {
    std::vector<connection_id> open;
    for (const auto& [connection_key, connection] : step.state.connections) {
        if (connection.target == id) {
            open.push_back(connection_key);
        }
    }
    for (const auto connection : open) {
        close_connection_by_id(step, connection);
    }
    step.state.instances.erase(id);
    if (step.state.primary.id == id) {
        step.state.primary.serving = false;
    }
}

void drop_former_instances(group_step& step, const database& group) {
    std::vector<endpoint_id> former;
    for (const auto& [id, instance] : step.state.instances) {
        bool kept = false;
        for (const auto& config : group.endpoints) {
            kept = kept || (config.id == id && config.address == instance.config.address);
        }
        if (!kept) {
            former.push_back(id);
        }
    }
    for (const auto& id : former) {
        drop_instance(step, id);
    }
}

void set_usable(group_step& step, group_instance& instance, bool usable) {
    if (usable && !instance.usable) {
        instance.caught_up = false;
        const auto* primary = find_instance(step.state, step.state.primary.id);
        instance.catch_up_target = primary == nullptr ? log_position{} : primary->position;
    }
    if (!usable && instance.usable) {
        instance.unusable_since = step.now;
    }
    instance.usable = usable;
}

/// Connection ids are unique within a host, and a host has several groups.
connection_id initial_connection_id(const database_id& id) {
    constexpr std::uint64_t prefix_mask = 0x7fffffff;
    constexpr unsigned counter_bits = 32;
    return ((std::hash<database_id>{}(id)&prefix_mask) << counter_bits) | 1U;
}

}  // namespace

void group_configure(group_state& state, const database& group, const std::set<endpoint_id>& usable, instant now,
                     group_actions& actions) {
    group_step step{state, now, actions};
    if (state.next_connection == 0) {
        state.next_connection = initial_connection_id(group.id);
        state.last_event = now;
        state.duty_since = now;
    }
    state.id = group.id;
    state.queue.limit_per_workspace = state.settings.queue_limit;
    exclude_pause_from_timeouts(step);
    drop_former_instances(step, group);
    for (const auto& config : group.endpoints) {
        auto& instance = state.instances[config.id];
        instance.config = config;
        set_usable(step, instance, usable.contains(config.id));
    }
    advance(step);
}

void group_set_duty(group_state& state, group_duty duty, instant now, group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    if (state.duty != duty) {
        state.duty = duty;
        state.duty_since = now;
        for (auto& [id, instance] : state.instances) {
            instance.followed_term = 0;
        }
    }
    advance(step);
}

void group_submit(group_state& state, const host_id& origin, const database_request& request, instant now,
                  group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    waiting_request item;
    item.origin = origin;
    item.request = request;
    item.arrived = now;
    item.deadline = now + request.time_left;
    state.last_in_flight_at = now;
    state.highest_session_term = std::max(state.highest_session_term, request.session.term);
    if (item.deadline <= now) {
        reply_failed(step, item, refusal::deadline);
    } else if (is_in_transaction(request.kind)) {
        submit_in_transaction(step, std::move(item));
    } else if (!push_request(state.queue, item)) {
        reply_failed(step, item, refusal::queue_full);
    }
    advance(step);
}

void group_connected(group_state& state, connection_id connection, instant now, group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    const auto found = state.connections.find(connection);
    if (found != state.connections.end()) {
        found->second.ready = true;
        found->second.last_seen = now;
    }
    advance(step);
}

void group_closed(group_state& state, connection_id connection, instant now, group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    const auto found = state.connections.find(connection);
    if (found != state.connections.end()) {
        record_closed_connection(step, found->second);
        remove_connection(step, connection);
    }
    advance(step);
}

namespace {

void handle_call_answer(group_step& step, connection_id connection, const endpoint_id& target, call_in_flight call,
                        const endpoint_answer& answer) {
    const bool accepted = answer.failure == endpoint_error::none;
    switch (call.purpose) {
        case call_purpose::status:
        case call_purpose::validation:
            break;
        case call_purpose::fence:
            handle_fence_answer(step, target, call.call.term, answer);
            break;
        case call_purpose::promote:
            handle_promote_answer(step, call.call.term, answer);
            break;
        case call_purpose::follow:
            if (accepted) {
                step.state.instances.at(target).followed_term = call.call.term;
            }
            break;
        case call_purpose::roll_back_expired:
            if (!accepted) {
                close_connection_by_id(step, connection);
            }
            break;
        case call_purpose::request:
            handle_request_answer(step, connection, target, std::move(call), answer);
            break;
    }
}

void handle_answer(group_step& step, group_connection& connection, const endpoint_answer& answer) {
    const auto id = connection.id;
    const auto target = connection.target;
    if (!connection.call || connection.call->call.id != answer.id || connection.call->call.request != answer.request) {
        close_connection_by_id(step, id);  // Crossed or late: nothing on this connection can be trusted any more.
        return;
    }
    auto call = std::move(*connection.call);
    connection.call.reset();
    connection.answered = true;
    connection.last_seen = step.now;
    const bool is_log_end = !call.call.write;
    apply_report(step, step.state.instances.at(target), answer, call.sent_at, is_log_end);
    handle_call_answer(step, id, target, std::move(call), answer);
}

}  // namespace

void group_answered(group_state& state, connection_id connection, const endpoint_answer& answer, instant now,
                    group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    const auto found = state.connections.find(connection);
    if (found != state.connections.end()) {
        handle_answer(step, found->second, answer);
    }
    advance(step);
}

void group_term_reserved(group_state& state, term_number term, instant now, group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    add_reserved_term(step, term);
    advance(step);
}

void group_tick(group_state& state, instant now, group_actions& actions) {
    group_step step{state, now, actions};
    exclude_pause_from_timeouts(step);
    expire_calls(step);
    expire_transactions(step);
    maintain_pool(step);
    advance(step);
}

std::size_t group_in_flight(const group_state& state) {
    std::size_t count = queued_requests(state.queue) + state.unacknowledged.size() + state.transactions.size();
    for (const auto& [id, connection] : state.connections) {
        count += connection.call && connection.call->request ? 1 : 0;
    }
    for (const auto& [id, transaction] : state.transactions) {
        count += transaction.pending.size();
    }
    return count;
}

std::vector<endpoint_view> group_endpoints(const group_state& state) {
    std::vector<endpoint_view> views;
    for (const auto& [id, instance] : state.instances) {
        std::size_t open = 0;
        for (const auto& [connection_key, connection] : state.connections) {
            open += connection.target == id && connection.ready ? 1 : 0;
        }
        views.push_back({id, instance.up, instance.role, instance.term, instance.position, instance.replication_age, open});
    }
    return views;
}

}  // namespace camphorstack
