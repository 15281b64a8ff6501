#include "camphorstack/endpoints/replica_choice.hpp"

#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/reports.hpp"

namespace camphorstack {

bool has_capacity(const loaded_instance& candidate, capacity needed, instant now) {
    const auto& instance = *candidate.instance;
    const bool may_run = candidate.load.running < statement_limit(instance) && now >= instance.busy_until;
    return may_run && (needed == capacity::soon || candidate.load.idle != 0);
}

bool can_serve_read(const group_state& state, const group_instance& replica, const waiting_request& item) {
    const millis age_limit = item.request.max_age.value_or(replica_age_limit);
    return replica.config.id != state.primary.id && replica.up && replica.reported && may_use(state, replica) &&
           replica.caught_up && replica.term >= state.primary.term && replica.position >= item.request.session &&
           replica.replication_age <= age_limit;
}

namespace {

bool has_other_replica(const group_state& state) {
    for (const auto& [id, instance] : state.instances) {
        if (id != state.primary.id && instance.up && may_use(state, instance)) {
            return true;
        }
    }
    return false;
}

const loaded_instance* primary_for_read(group_state& state, const std::vector<loaded_instance>& candidates,
                                        const waiting_request& item, capacity needed, instant now) {
    const auto* primary = serving_primary(state);
    const bool held = state.switchover && state.switchover->writes_held_since;
    if (primary == nullptr || held || primary->term < item.request.session.term) {
        return nullptr;
    }
    for (const auto& candidate : candidates) {
        if (candidate.instance == primary && has_capacity(candidate, needed, now)) {
            return &candidate;
        }
    }
    return nullptr;
}

}  // namespace

const loaded_instance* choose_reader(group_state& state, const std::vector<loaded_instance>& candidates,
                                     const waiting_request& item, capacity needed, instant now) {
    const loaded_instance* best = nullptr;
    bool any_can_serve = false;
    for (std::size_t offset = 0; offset < candidates.size() && !item.needs_primary; ++offset) {
        const auto& candidate = candidates[(state.read_rotation + offset) % candidates.size()];
        if (!can_serve_read(state, *candidate.instance, item)) {
            continue;
        }
        any_can_serve = true;
        if (has_capacity(candidate, needed, now) && (best == nullptr || candidate.load.running < best->load.running)) {
            best = &candidate;
        }
    }
    if (best != nullptr) {
        return best;
    }
    const auto wait = state.settings.replica_wait;
    const millis patience = any_can_serve ? wait * primary_read_wait_factor : wait;
    const bool waited = item.needs_primary || now - item.arrived >= patience || !has_other_replica(state);
    return waited ? primary_for_read(state, candidates, item, needed, now) : nullptr;
}

bool satisfies_read(const waiting_request& item, const endpoint_answer& answer) {
    const bool in_age =
        !item.request.max_age || answer.role == endpoint_role::primary || answer.replication_age <= *item.request.max_age;
    return in_age && answer.position >= item.request.session;
}

}  // namespace camphorstack
