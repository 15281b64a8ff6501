#include "camphorstack/session_host/position_requests.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/session_host/routing.hpp"

namespace camphorstack {

namespace {

/// Time limit for a primary's answer to a position request.
constexpr millis position_request_timeout{400};

}  // namespace

void request_positions(session_host_state& state, instant now) {
    const auto& settings = state.settings.entry;
    for (const auto& item : state.sample_needed_at) {
        const auto& database = item.first;
        const auto last_needed = item.second;
        const auto newest = newest_sample(state.samples[database]);
        const bool is_old = !newest || now - *newest >= settings.sample_refresh_interval;
        const bool is_requested =
            std::ranges::any_of(state.position_requests, [&](const auto& request) { return request.second == database; });
        if (!is_old || is_requested || now - last_needed >= settings.sample_refresh_interval * 4) {
            continue;
        }
        session_access access;
        access.database = database;
        const auto target = leader_target(state, access);
        if (!target) {
            continue;
        }
        auto request = make_administrative_run(state, target->endpoint, run_kind::status, position_request_timeout);
        if (!request) {
            return;
        }
        request->round = target->round;
        state.position_requests[request->id] = database;
        state.position_request_times[request->id] = now;
        start_run(state, target->host, std::move(*request), now);
    }
}

bool receive_position(session_host_state& state, const run_result& result) {
    const auto pending = state.position_requests.find(result.id);
    if (pending == state.position_requests.end()) {
        return false;
    }
    record_position(state, pending->second, result, state.position_request_times[result.id]);
    state.position_requests.erase(pending);
    state.position_request_times.erase(result.id);
    return true;
}

void record_position(session_host_state& state, const database_id& database, const run_result& result, instant sent) {
    if (result.round != 0 && result.position) {
        add_sample(state.samples[database], result.round, {sent, *result.position});
    }
}

void expire_position_requests(session_host_state& state, instant now) {
    std::erase_if(state.position_request_times, [&](const auto& item) {
        const bool over = now - item.second >= position_request_timeout * 3;
        if (over) {
            state.position_requests.erase(item.first);
        }
        return over;
    });
}

}  // namespace camphorstack
