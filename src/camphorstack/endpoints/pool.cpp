#include "camphorstack/endpoints/pool.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/lost_calls.hpp"

namespace camphorstack {

namespace {

bool is_validated(const group_state& state, const group_connection& connection, instant now) {
    return now - connection.last_seen <= state.settings.idle_proof_after;
}

bool is_idle(const group_connection& connection) {
    return connection.ready && !connection.control && !connection.call && connection.transaction.empty();
}

void count_connection(instance_load& load, const group_state& state, const group_connection& connection, instant now,
                      instant& newest) {
    ++load.connections;
    if (connection.control) {
        return;
    }
    ++load.statements;
    load.opening += connection.ready ? 0 : 1;
    load.pinned += connection.transaction.empty() ? 0 : 1;
    load.running += connection.call && connection.call->purpose == call_purpose::request ? 1 : 0;
    const bool is_being_validated = connection.call && connection.call->purpose == call_purpose::validation;
    if (is_being_validated || (is_idle(connection) && !is_validated(state, connection, now))) {
        ++load.unvalidated;
    } else if (is_idle(connection) && (load.idle == 0 || connection.last_used > newest)) {
        load.idle = connection.id;
        newest = connection.last_used;
    }
}

}  // namespace

instance_load connection_load(const group_state& state, const endpoint_id& target, instant now) {
    instance_load load;
    instant newest;
    for (const auto& [id, connection] : state.connections) {
        if (connection.target == target) {
            count_connection(load, state, connection, now, newest);
        }
    }
    return load;
}

std::size_t connection_limit(const group_instance& instance) {
    constexpr int smallest_pool = 2;
    return static_cast<std::size_t>(std::max(smallest_pool, (instance.config.connections / 2) - 1));
}

std::size_t statement_limit(const group_instance& instance) {
    return static_cast<std::size_t>(std::max(1, 2 * instance.config.slots));
}

std::size_t transaction_limit(const group_instance& instance) {
    constexpr std::size_t kept_for_writes = 2;
    const auto for_statements = connection_limit(instance) - 1;
    return for_statements > kept_for_writes ? for_statements - kept_for_writes : 1;
}

bool may_open(const group_instance& instance, std::size_t open_statements, instant now) {
    return open_statements < connection_limit(instance) - 1 && now >= instance.next_open;
}

void open_connection_to(group_step& step, group_instance& target, bool control) {
    group_connection connection;
    connection.id = step.state.next_connection++;
    connection.target = target.config.id;
    connection.control = control;
    connection.opened = step.now;
    connection.last_seen = step.now;
    connection.last_used = step.now;
    if (control) {
        target.control = connection.id;
        target.silent_since = target.silent_since.value_or(step.now);
    }
    step.actions.emplace_back(open_connection{connection.id, connection.target, target.config.address});
    step.state.connections.emplace(connection.id, std::move(connection));
}

void close_connection_by_id(group_step& step, connection_id id) {
    if (step.state.connections.contains(id)) {
        step.actions.emplace_back(close_connection{id});
        remove_connection(step, id);
    }
}

void remove_connection(group_step& step, connection_id id) {
    auto node = step.state.connections.extract(id);
    if (node.empty()) {
        return;
    }
    auto& connection = node.mapped();
    const auto instance = step.state.instances.find(connection.target);
    if (instance != step.state.instances.end() && instance->second.control == id) {
        instance->second.control = 0;
        instance->second.followed_term = 0;  // A restarted instance may have forgotten whom it follows.
    }
    handle_lost_connection(step, connection);
}

void start_call(group_step& step, group_connection& connection, endpoint_call call, call_purpose purpose, millis timeout) {
    call.id = step.state.next_call++;
    auto& target = step.state.instances[connection.target];
    target.silent_since = target.silent_since.value_or(step.now);
    step.actions.emplace_back(send_call{connection.id, call});
    connection.call = call_in_flight{std::move(call), purpose, step.now, step.now + timeout, std::nullopt};
}

void validate_idle_connections(group_step& step, const endpoint_id& target, std::size_t limit) {
    for (auto& [id, connection] : step.state.connections) {
        if (limit > 0 && connection.target == target && is_idle(connection) && !is_validated(step.state, connection, step.now)) {
            start_call(step, connection, endpoint_call{}, call_purpose::validation, status_call_timeout);
            --limit;
        }
    }
}

namespace {

/// Idle connections that are no longer worth keeping.
bool is_surplus(const group_step& step, const group_connection& connection, const group_instance& instance,
                std::size_t idle_kept) {
    const bool owner = step.state.duty == group_duty::owner;
    const millis unused = step.now - connection.last_used;
    const bool leaving = !instance.usable && step.state.primary.id != instance.config.id;
    if (leaving || !instance.up) {
        return unused >= leaving_idle_time;
    }
    if (!owner) {
        return unused >= non_owner_idle_time;
    }
    return unused >= owner_idle_time && idle_kept >= warm_connections;
}

void close_surplus(group_step& step, const group_instance& instance) {
    std::vector<connection_id> surplus;
    std::size_t kept = 0;
    for (const auto& [id, connection] : step.state.connections) {
        if (connection.target != instance.config.id || !is_idle(connection)) {
            continue;
        }
        if (is_surplus(step, connection, instance, kept)) {
            surplus.push_back(id);
        } else {
            ++kept;
        }
    }
    for (const auto id : surplus) {
        close_connection_by_id(step, id);
    }
}

void keep_warm(group_step& step, group_instance& instance) {
    const auto load = connection_load(step.state, instance.config.id, step.now);
    if (load.statements < warm_connections && may_open(instance, load.statements, step.now)) {
        open_connection_to(step, instance, false);
    }
    validate_idle_connections(step, instance.config.id, warm_connections);
}

}  // namespace

void maintain_pool(group_step& step) {
    for (auto& [id, instance] : step.state.instances) {
        close_surplus(step, instance);
        const bool in_use = instance.usable || step.state.primary.id == id;
        if (step.state.duty == group_duty::owner && instance.up && in_use) {
            keep_warm(step, instance);
        }
    }
}

}  // namespace camphorstack
