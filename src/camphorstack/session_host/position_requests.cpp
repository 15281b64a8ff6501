#include "camphorstack/session_host/position_requests.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/session_host/routing.hpp"

namespace camphorstack {

namespace {

/// Time limit for a primary's answer to a position request, and for another host's.
constexpr millis position_request_timeout{400};
/// A request without an answer is sent again after this time, at once to the primary's owner. Twice the latency between regions,
/// with time for the endpoint.
constexpr millis position_retry_interval{300};
/// A position that was at most this old when another host's request arrived answers that request. A third of the refresh
/// interval, so that the other host need not ask again at once.
constexpr millis shared_position_age{200};

/// Returns the host that runs statements at the database's endpoint in this host's region, if that is another host and the
/// primary is in another region. One such host asks the primary for all hosts of the region.
std::optional<host_id> find_near_host(const session_host_state& state, const database_id& database, const run_target& primary) {
    const auto own_region = region_of(state, state.settings.self.location);
    if (region_of(state, state.catalog.endpoints.at(primary.endpoint).location) == own_region) {
        return std::nullopt;
    }
    for (const auto& [id, entry] : state.catalog.endpoints) {
        if (entry.database != database || region_of(state, entry.location) != own_region) {
            continue;
        }
        const auto host = executor_host(state, id);
        return host == state.settings.self.id ? std::nullopt : std::optional(host);
    }
    return std::nullopt;
}

/// Returns when the newest request for the database's position was sent that has no answer.
std::optional<instant> last_request(const session_host_state& state, const database_id& database) {
    std::optional<instant> last;
    for (const auto& [run, request] : state.position_requests) {
        if (request.database == database && (!last || *last < request.sent)) {
            last = request.sent;
        }
    }
    return last;
}

/// Requests the position of a database's primary unless a request is under way.
void request_position(session_host_state& state, const database_id& database, bool for_others, instant now) {
    const auto last = last_request(state, database);
    if (last && now - *last < position_retry_interval) {
        return;
    }
    session_access access;
    access.database = database;
    const auto target = leader_target(state, access);
    if (!target) {
        return;
    }
    auto request = make_administrative_run(state, database, target->endpoint, run_kind::status, position_request_timeout);
    if (!request) {
        return;
    }
    request->round = target->round;
    const bool asks_owner = last.has_value() || for_others;
    const auto host = asks_owner ? target->host : find_near_host(state, database, *target).value_or(target->host);
    const bool is_own = host == state.settings.self.id;
    request->accepts_known_position = !is_own;
    ++(is_own ? state.position_counts.sent_to_endpoints : state.position_counts.sent_to_hosts);
    state.position_requests[request->id] = {database, now};
    start_run(state, host, std::move(*request), now);
}

/// Returns the newest position that the host knows of the database's primary.
std::optional<known_position> newest_known(const session_host_state& state, const database_id& database, instant now) {
    const auto found = state.samples.find(database);
    if (found == state.samples.end() || found->second.entries.empty()) {
        return std::nullopt;
    }
    const auto& newest = found->second.entries.back();
    return known_position{found->second.round, newest.position, std::max(now - newest.requested_at, millis{0})};
}

bool is_young_enough(const known_position& known, const kept_position_request& request, instant now) {
    return known.round >= request.round && now - known.age >= request.received - shared_position_age;
}

/// Answers the request if a position is known that is young enough, or refuses it if it has waited too long.
bool try_answer(session_host_state& state, const kept_position_request& request, instant now) {
    run_result result;
    result.id = request.run;
    result.known = newest_known(state, request.database, now);
    if (result.known && is_young_enough(*result.known, request, now)) {
        result.outcome = run_outcome::done;
        ++state.position_counts.answered;
    } else if (now - request.received >= position_request_timeout) {
        result.outcome = run_outcome::not_run;
        result.code = result_code::busy;
        result.text = "the primary's position was not known in time";
        ++state.position_counts.expired;
    } else {
        return false;
    }
    send_peer(state, request.origin, std::move(result));
    return true;
}

}  // namespace

void request_positions(session_host_state& state, instant now) {
    const auto& settings = state.settings.entry;
    for (const auto& [database, last_needed] : state.sample_needed_at) {
        const auto newest = newest_sample(state.samples[database]);
        const bool is_old = !newest || now - *newest >= settings.sample_refresh_interval;
        if (is_old && now - last_needed < settings.sample_refresh_interval * 4) {
            request_position(state, database, false, now);
        }
    }
    for (const auto& kept : state.kept_position_requests) {
        request_position(state, kept.database, true, now);
    }
}

bool receive_position(session_host_state& state, const run_result& result) {
    const auto pending = state.position_requests.find(result.id);
    if (pending == state.position_requests.end()) {
        return false;
    }
    const auto request = pending->second;
    record_position(state, request.database, result, request.sent);
    // A request that was refused counts as under way until `position_retry_interval` is over, so that a refusal is not followed
    // by the next request at once.
    if (result.known || (result.round != 0 && result.position)) {
        std::erase_if(state.position_requests, [&](const auto& item) { return item.second.database == request.database; });
    }
    return true;
}

void record_position(session_host_state& state, const database_id& database, const run_result& result, instant sent) {
    if (result.round != 0 && result.position) {
        add_sample(state.samples[database], result.round, {sent, *result.position});
    }
    if (result.known && result.known->round != 0) {
        // The sender made the result after `sent`, so the primary was asked at `sent - age` or later.
        add_sample(state.samples[database], result.known->round, {sent - result.known->age, result.known->position});
        ++state.position_counts.learned;
    }
}

void learn_position(session_host_state& state, const endpoint_id& endpoint) {
    const auto found = state.executor.endpoints.find(endpoint);
    if (found != state.executor.endpoints.end() && found->second.newest_answer) {
        const auto& newest = *found->second.newest_answer;
        add_sample(state.samples[found->second.entry.database], newest.round, {newest.asked, newest.position});
    }
}

void add_known_position(const session_host_state& state, addressed_result& item, instant now) {
    const auto found = state.executor.endpoints.find(item.endpoint);
    if (found == state.executor.endpoints.end() || (item.result.round != 0 && item.result.position)) {
        return;
    }
    const auto known = newest_known(state, found->second.entry.database, now);
    if (known && known->age < state.settings.entry.sample_refresh_interval) {
        item.result.known = known;
    }
}

bool receive_position_request(session_host_state& state, const host_id& origin, const run_request& request, instant now) {
    if (request.kind != run_kind::status || !request.accepts_known_position) {
        return false;
    }
    const auto found = state.catalog.endpoints.find(request.endpoint);
    const bool is_known =
        found != state.catalog.endpoints.end() && (request.database.empty() || request.database == found->second.database);
    if (!is_known) {
        return false;
    }
    const kept_position_request kept{origin, request.id, found->second.database, request.round, now};
    if (!try_answer(state, kept, now)) {
        state.kept_position_requests.push_back(kept);
        request_position(state, kept.database, true, now);
    }
    return true;
}

void answer_position_requests(session_host_state& state, instant now) {
    std::erase_if(state.kept_position_requests,
                  [&](const kept_position_request& request) { return try_answer(state, request, now); });
}

void expire_position_requests(session_host_state& state, instant now) {
    std::erase_if(state.position_requests,
                  [&](const auto& item) { return now - item.second.sent >= position_request_timeout * 3; });
}

}  // namespace camphorstack
