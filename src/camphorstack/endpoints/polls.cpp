#include "camphorstack/endpoints/polls.hpp"

#include <algorithm>

#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/pool.hpp"
#include "camphorstack/endpoints/reports.hpp"

namespace camphorstack {

bool is_monitoring(const group_step& step) {
    return step.state.duty != group_duty::none || step.now - step.state.last_in_flight_at < on_demand_poll_time;
}

namespace {

/// Maximum number of queued requests that are examined; bounded, as they are examined at every event.
constexpr std::size_t queue_scan_limit = 16;

/// True if a read waits for the replica to reach its session's position.
bool is_awaited_by_read(const group_state& state, const group_instance& instance) {
    std::size_t seen = 0;
    for (const auto& [workspace, items] : state.queue.waiting) {
        for (const auto& item : items) {
            if (seen++ >= queue_scan_limit) {
                return false;
            }
            if (item.request.kind == request_kind::read && item.request.session > instance.position) {
                return true;
            }
        }
    }
    return false;
}

bool is_awaited_by_write(const group_state& state, const group_instance& instance) {
    return std::any_of(state.unacknowledged.begin(), state.unacknowledged.end(), [&](const auto& write) {
        return write.served_by != instance.config.id && write.position > instance.position;
    });
}

millis poll_interval(const group_step& step, const group_instance& instance) {
    const auto& state = step.state;
    const bool busy = group_in_flight(state) > 0;
    const bool primary = instance.config.id == state.primary.id;
    if (instance.up && !primary && (is_awaited_by_write(state, instance) || is_awaited_by_read(state, instance))) {
        return fast_poll_interval;
    }
    if (state.switchover && state.switchover->writes_held_since) {
        return fast_poll_interval;
    }
    const bool found = state.primary.serving && state.primary.term >= state.highest_session_term && !state.promotion;
    if (!found && (busy || state.duty == group_duty::owner)) {
        return primary_search_interval;
    }
    const auto interval = state.settings.probe_interval;
    return state.duty == group_duty::standby && !busy ? interval * standby_poll_factor : interval;
}

void send_follow(group_step& step, group_connection& connection) {
    endpoint_call call;
    call.operation = endpoint_operation::follow;
    call.term = step.state.primary.term;
    call.statement = step.state.instances.at(step.state.primary.id).config.address;
    start_call(step, connection, std::move(call), call_purpose::follow, step.state.settings.fence_timeout);
}

/// True if the replica needs a follow call. A replica that is fenced at a higher term would refuse the call; it follows
/// again only after a new promotion.
bool needs_follow(const group_state& state, const group_instance& instance) {
    const auto* primary = find_instance(state, state.primary.id);
    return state.duty == group_duty::owner && primary != nullptr && state.primary.serving && !state.promotion &&
           &instance != primary && instance.reported && instance.followed_term < state.primary.term &&
           instance.term <= state.primary.term;
}

void poll_instance(group_step& step, group_instance& instance) {
    const auto found = step.state.connections.find(instance.control);
    if (found == step.state.connections.end() || !found->second.ready || found->second.call) {
        return;
    }
    if (needs_follow(step.state, instance)) {
        send_follow(step, found->second);
    } else if (step.now - instance.last_polled >= poll_interval(step, instance) || !found->second.answered) {
        instance.last_polled = step.now;
        start_call(step, found->second, endpoint_call{}, call_purpose::status, status_call_timeout);
    }
}

}  // namespace

void poll_instances(group_step& step) {
    const bool monitoring = is_monitoring(step);
    for (auto& [id, instance] : step.state.instances) {
        if (!monitoring) {
            close_connection_by_id(step, instance.control);
            instance.silent_since.reset();
            continue;
        }
        if (instance.control == 0 && step.now >= instance.next_connect) {
            open_connection_to(step, instance, true);
        }
        poll_instance(step, instance);
    }
}

}  // namespace camphorstack
