#include "camphorstack/endpoints/reports.hpp"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "camphorstack/endpoints/acknowledgement.hpp"
#include "camphorstack/endpoints/pool.hpp"
#include "camphorstack/endpoints/promotion.hpp"

namespace camphorstack {

std::size_t majority(const group_state& state) {
    return (state.instances.size() / 2) + 1;
}

std::size_t instances_up(const group_state& state) {
    return static_cast<std::size_t>(
        std::count_if(state.instances.begin(), state.instances.end(), [](const auto& entry) { return entry.second.up; }));
}

group_instance* find_instance(group_state& state, const endpoint_id& id) {
    const auto found = state.instances.find(id);
    return found == state.instances.end() ? nullptr : &found->second;
}

const group_instance* find_instance(const group_state& state, const endpoint_id& id) {
    const auto found = state.instances.find(id);
    return found == state.instances.end() ? nullptr : &found->second;
}

group_instance* serving_primary(group_state& state) {
    auto* instance = find_instance(state, state.primary.id);
    return instance != nullptr && state.primary.serving && instance->up && !state.promotion ? instance : nullptr;
}

bool may_use(const group_state& state, const group_instance& instance) {
    return instance.usable ||
           std::none_of(state.instances.begin(), state.instances.end(), [](const auto& entry) { return entry.second.usable; });
}

namespace {

void mark_up(group_step& step, group_instance& instance) {
    instance.last_seen = step.now;
    instance.silent_since.reset();
    instance.refusals = 0;
    if (instance.up) {
        return;
    }
    instance.up = true;
    instance.caught_up = false;
    const auto* primary = find_instance(step.state, step.state.primary.id);
    instance.catch_up_target = primary == nullptr ? log_position{} : primary->position;
    record_decision(step, "instance_up", "instance=" + instance.config.id);
}

/// Calls on different connections overlap, so an older report may arrive after a newer one.
bool is_newer(const group_instance& instance, const endpoint_answer& answer, instant sent_at) {
    return !instance.reported || sent_at >= instance.reported_at ||
           std::tie(answer.term, answer.position) >= std::tie(instance.term, instance.position);
}

void update_catch_up(group_step& step, group_instance& instance) {
    if (instance.term >= step.state.primary.term && instance.position >= instance.catch_up_target) {
        instance.caught_up = true;
    }
}

void update_highest_term(group_step& step, term_number term) {
    if (term > step.state.highest_term) {
        step.state.highest_term = term;
        step.state.highest_term_since = step.now;
    }
}

void update_primary(group_step& step, const group_instance& instance) {
    auto& primary = step.state.primary;
    if (instance.role == endpoint_role::primary && instance.term > primary.term) {
        adopt_primary(step, instance);
    } else if (instance.config.id == primary.id) {
        primary.serving = instance.role == endpoint_role::primary && instance.term == primary.term;
    }
}

}  // namespace

void apply_report(group_step& step, group_instance& instance, const endpoint_answer& answer, instant sent_at, bool is_log_end) {
    mark_up(step, instance);
    if (!is_newer(instance, answer, sent_at)) {
        return;
    }
    // The answer to a write carries the write's own position, and other writes may already have passed it.
    const bool same_term = instance.reported && instance.term == answer.term;
    instance.position = is_log_end || !same_term ? answer.position : std::max(instance.position, answer.position);
    instance.reported = true;
    instance.role = answer.role;
    instance.term = answer.term;
    instance.replication_age = answer.replication_age;
    instance.reported_at = step.now;
    instance.report_requested_at = std::max(instance.report_requested_at, sent_at);
    update_highest_term(step, answer.term);
    update_primary(step, instance);
    update_catch_up(step, instance);
    acknowledge_writes(step);
}

namespace {

/// True if a connection to a former primary is closed at once rather than waiting for its answer.
bool is_stale(const group_step& step, const group_connection& connection) {
    const auto transaction = step.state.transactions.find(connection.transaction);
    if (transaction != step.state.transactions.end() && transaction->second.term < step.state.primary.term) {
        return true;
    }
    if (!connection.call || !connection.call->request || !connection.call->call.write) {
        return false;
    }
    // An instance that still answers settles its writes itself, mostly by refusing the term.
    const auto* target = find_instance(step.state, connection.target);
    const auto& request = connection.call->request->request;
    const bool resend = request.idempotent || !request.idempotency_key.empty();
    return connection.call->call.term < step.state.primary.term && (resend || target == nullptr || !target->up);
}

void close_stale_connections(group_step& step) {
    std::vector<connection_id> stale;
    for (const auto& [id, connection] : step.state.connections) {
        if (is_stale(step, connection)) {
            stale.push_back(id);
        }
    }
    for (const auto id : stale) {
        close_connection_by_id(step, id);
    }
}

}  // namespace

void adopt_primary(group_step& step, const group_instance& instance) {
    const auto former = step.state.primary.id;
    step.state.primary = {instance.config.id, instance.term, true};
    step.state.switchover.reset();
    record_decision(step, "primary_found",
                    "instance=" + instance.config.id + " term=" + std::to_string(instance.term) + " former=" + former);
    finish_promotion(step);
    resolve_writes_of_earlier_terms(step);
    close_stale_connections(step);
}

}  // namespace camphorstack
