#include "camphorstack/endpoints/suspicion.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/pool.hpp"
#include "camphorstack/endpoints/replies.hpp"
#include "camphorstack/endpoints/reports.hpp"

namespace camphorstack {

millis silence_duration(const group_instance& instance, instant now) {
    return now - instance.last_seen;
}

namespace {

/// A refusal is confirmed by a second attempt, as one may come from a full instance or a lost race.
constexpr int confirmed_refusals = 2;

bool has_ready_connection(const group_state& state, const endpoint_id& target) {
    return std::any_of(state.connections.begin(), state.connections.end(),
                       [&](const auto& entry) { return entry.second.target == target && entry.second.ready; });
}

bool is_silent(const group_state& state, const group_instance& instance, instant now) {
    const auto& settings = state.settings;
    if (!instance.silent_since || silence_duration(instance, now) < settings.suspect_after) {
        return false;
    }
    return now - *instance.silent_since >= settings.suspect_after - settings.probe_interval;
}

bool is_refusing(const group_state& state, const group_instance& instance) {
    return instance.refusals >= confirmed_refusals && !has_ready_connection(state, instance.config.id);
}

/// Writes and transactions keep their connections until the next primary is known.
bool is_movable(const group_connection& connection) {
    const bool pinned = !connection.transaction.empty();
    const bool writes = connection.call && connection.call->call.write;
    return !connection.control && !pinned && !writes;
}

void mark_down(group_step& step, group_instance& instance) {
    instance.up = false;
    instance.caught_up = false;
    instance.followed_term = 0;
    record_decision(step, "instance_down",
                    "instance=" + instance.config.id +
                        " silence_ms=" + std::to_string(silence_duration(instance, step.now).count) +
                        " refusals=" + std::to_string(instance.refusals));
    std::vector<connection_id> movable;
    for (const auto& [id, connection] : step.state.connections) {
        if (connection.target == instance.config.id && is_movable(connection)) {
            movable.push_back(id);
        }
    }
    for (const auto id : movable) {
        close_connection_by_id(step, id);
    }
}

}  // namespace

void record_closed_connection(group_step& step, const group_connection& connection) {
    auto* instance = find_instance(step.state, connection.target);
    if (instance == nullptr || connection.answered) {
        return;
    }
    ++instance->refusals;
    if (!connection.control) {
        instance->next_open = step.now + refused_connect_backoff;
    } else if (instance->refusals >= confirmed_refusals) {
        instance->next_connect = step.now + step.state.settings.probe_interval;
    }
}

void suspect_instances(group_step& step) {
    for (auto& [id, instance] : step.state.instances) {
        if (instance.up && (is_silent(step.state, instance, step.now) || is_refusing(step.state, instance))) {
            mark_down(step, instance);
        }
    }
}

namespace {

void reply_if_past_deadline(group_step& step, group_connection& connection) {
    if (connection.call && connection.call->request && connection.call->request->deadline <= step.now) {
        reply_failed(step, *connection.call->request, refusal::deadline);
        connection.call->request.reset();
        connection.call->expires = step.now;
    }
}

bool is_expired(const group_step& step, const group_connection& connection) {
    if (connection.call) {
        return connection.call->expires <= step.now;
    }
    return !connection.ready && step.now - connection.opened >= step.state.settings.connect_timeout;
}

}  // namespace

void expire_calls(group_step& step) {
    std::vector<connection_id> expired;
    for (auto& [id, connection] : step.state.connections) {
        reply_if_past_deadline(step, connection);
        if (is_expired(step, connection)) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        close_connection_by_id(step, id);
    }
    for (const auto& item : pop_expired(step.state.queue, step.now)) {
        reply_failed(step, item, refusal::deadline);
    }
    std::erase_if(step.state.unacknowledged, [&](const unacknowledged_write& write) {
        const bool late = write.request.deadline <= step.now;
        if (late) {
            reply_failed(step, write.request, refusal::deadline);
        }
        return late;
    });
}

void exclude_pause_from_timeouts(group_step& step) {
    const millis gap = step.now - step.state.last_event;
    step.state.last_event = step.now;
    constexpr millis longest_regular_gap{150};
    if (gap <= longest_regular_gap) {
        return;
    }
    for (auto& [id, instance] : step.state.instances) {
        instance.last_seen = instance.last_seen + gap;
        if (instance.silent_since) {
            instance.silent_since = *instance.silent_since + gap;
        }
    }
    for (auto& [id, connection] : step.state.connections) {
        connection.opened = connection.opened + gap;
        if (connection.call) {
            connection.call->expires = connection.call->expires + gap;
        }
    }
}

}  // namespace camphorstack
