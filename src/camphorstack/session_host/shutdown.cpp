#include "camphorstack/session_host/shutdown.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/session_host/position_requests.hpp"
#include "camphorstack/session_host/session_entry.hpp"
#include "camphorstack/session_host/usage_duty.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

/// A host that shuts down ends this much before its grace period does, to have time for sending its last answers.
constexpr millis stop_margin{700};
/// With a short grace period, the margin is this fraction of it.
constexpr std::int64_t stop_margin_divisor = 8;
/// With a short grace period, idle sessions are closed after this fraction of it.
constexpr std::int64_t idle_session_grace_divisor = 4;
/// Open transactions may go on for this fraction of the grace period.
constexpr std::int64_t transaction_grace_divisor = 2;

millis idle_session_grace(const session_host_settings& settings) {
    return std::min(settings.entry.idle_session_grace, settings.stop_grace / idle_session_grace_divisor);
}

/// Returns the time from the request to stop until the host ends at the latest.
millis service_time(const session_host_settings& settings) {
    return settings.stop_grace - std::min(stop_margin, settings.stop_grace / stop_margin_divisor);
}

std::vector<session_id> ids_of(const std::map<session_id, caller_session>& sessions) {
    std::vector<session_id> ids;
    ids.reserve(sessions.size());
    for (const auto& [id, session] : sessions) {
        ids.push_back(id);
    }
    return ids;
}

/// Returns true if another host has answered a report that was sent a moment ago, or if there is no other host.
bool has_quick_links(const session_host_state& state, instant now) {
    const bool is_alone =
        std::ranges::all_of(listed_members(state), [&](const member& listed) { return listed.id == state.settings.self.id; });
    return is_alone || now - state.coordination.last_heard_report <= state.settings.entry.close_window;
}

/// Answers the statements in flight and closes all sessions.
void end_sessions(session_host_state& state, instant now) {
    for (const auto id : ids_of(state.sessions)) {
        fail_session_statements(state, state.sessions.at(id), "this host is shutting down", now);
        disconnect_session(state, id, now);
    }
}

void end_host(session_host_state& state, instant now) {
    const auto unanswered = std::ranges::count_if(
        state.sessions, [](const auto& item) { return item.second.operation || !item.second.waiting.empty(); });
    const auto sessions = state.sessions.size();
    state.stopped = true;
    end_sessions(state, now);
    count_started_operations(state);
    send_last_usage(state, now);
    announce_shutdown(state);
    log_decision(state, "stopped",
                 "sessions=" + std::to_string(sessions) + " unanswered=" + std::to_string(unanswered) +
                     " runs=" + std::to_string(count_open_work(state.executor)) +
                     " ms=" + std::to_string((now - state.stop_requested_at).count));
    state.actions.emplace_back(host_stopped{});
}

}  // namespace

void begin_shutdown(session_host_state& state, instant now) {
    if (state.stopping) {
        return;
    }
    state.stopping = true;
    state.stop_requested_at = now;
    state.coordination.next_report = now;
    log_decision(state, "stop_requested", "sessions=" + std::to_string(state.sessions.size()));
    coordinator_role_tick(state, now);
    send_last_usage(state, now);
}

bool refuses_new_sessions(const session_host_state& state, instant now) {
    return state.stopping && now - state.stop_requested_at >= idle_session_grace(state.settings);
}

bool closes_idle_sessions(const session_host_state& state, instant now) {
    return !state.stopped && refuses_new_sessions(state, now + state.settings.entry.close_window);
}

void close_sessions_after_answers(session_host_state& state, instant now) {
    if (refuses_new_sessions(state, now) && !state.stopped) {
        close_answered_sessions(state, has_quick_links(state, now), now);
    }
}

bool can_answer_before_end(const session_host_state& state, millis time_limit, instant now) {
    if (!state.stopping) {
        return true;
    }
    const auto spent = now - state.stop_requested_at;
    const bool in_transaction_grace = spent < state.settings.stop_grace / transaction_grace_divisor;
    return !state.stopped && (in_transaction_grace || spent + time_limit <= service_time(state.settings));
}

instant last_answer_deadline(const session_host_state& state) {
    return state.stop_requested_at + service_time(state.settings);
}

void receive_run_request(session_host_state& state, const host_id& origin, const run_request& request, instant now) {
    if (can_answer_before_end(state, request.queue_timeout + request.statement_timeout, now)) {
        if (!receive_position_request(state, origin, request, now)) {
            submit_run(state.executor, origin, request, now);
        }
        return;
    }
    const bool continues = continues_transaction(request);
    if (continues) {
        end_transaction(state.executor, {origin, request.transaction}, now);
    }
    run_result refused;
    refused.id = request.id;
    refused.outcome = run_outcome::not_run;
    refused.code = continues ? result_code::aborted : result_code::busy;
    refused.text = "the endpoint's owner is shutting down";
    log_decision(state, "run_refused",
                 "request=" + log_value(request.statement_id) + " endpoint=" + log_value(request.endpoint) +
                     " origin=" + log_value(origin) + " code=" + to_string(refused.code) + " reason=shutdown",
                 true);
    send_peer(state, origin, std::move(refused));
}

void shutdown_tick(session_host_state& state, instant now) {
    if (!state.stopping || state.stopped) {
        return;
    }
    if (refuses_new_sessions(state, now) && has_quick_links(state, now)) {
        close_idle_sessions(state, now);
    }
    const bool drained = refuses_new_sessions(state, now) && state.sessions.empty() && count_open_work(state.executor) == 0;
    if (drained || now - state.stop_requested_at >= service_time(state.settings)) {
        end_host(state, now);
    }
}

}  // namespace camphorstack
