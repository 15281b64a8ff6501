#include "camphorstack/session_host/routing.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Added to the leader's cost, since writes can only go there.
constexpr millis leader_cost{8};
/// Costs closer to each other than this are chosen between at random, so that hosts do not all turn to one endpoint.
constexpr std::int64_t jitter_ms = 3;

millis path_cost(const session_host_state& state, const data_centre_id& from, const data_centre_id& to) {
    if (from == to) {
        return millis{0};
    }
    return region_of(state, from) == region_of(state, to) ? state.settings.entry.cross_data_centre_cost
                                                          : state.settings.entry.cross_region_cost;
}

millis expected_wait(const session_host_state& state, const endpoint_id& endpoint, const host_id& host, instant now) {
    if (host == state.settings.self.id) {
        const auto found = state.executor.endpoints.find(endpoint);
        return found == state.executor.endpoints.end() ? millis{0} : estimated_wait(state.executor, found->second);
    }
    const auto told = state.waits.find(endpoint);
    const bool recent = told != state.waits.end() && now - told->second.told < state.settings.entry.reported_wait_lifetime;
    return recent ? told->second.wait : millis{0};
}

const leader_record* serving_leader(const session_host_state& state, const database_id& database) {
    const auto found = state.catalog.leaders.find(database);
    const bool serving = found != state.catalog.leaders.end() && found->second.record.phase == leader_phase::serving;
    return serving ? &found->second.record : nullptr;
}

/// The position that a read at a replica must have; nothing if none is known to be recent enough.
std::optional<log_position> required_position(session_host_state& state, const caller_session& session,
                                              const open_operation& operation, instant now) {
    const auto& policy = operation.access.policy;
    const auto& database = operation.access.database;
    state.sample_needed_at[database] = now;
    const auto& samples = state.samples[database];
    const auto cutoff = operation.arrived - policy.max_staleness + state.settings.entry.staleness_margin;
    auto position = position_since(samples, cutoff);
    if (!position || policy.reads != consistency::read_your_writes || !session.written) {
        return position;
    }
    if (session.written_round == samples.round) {
        return std::max(*position, *session.written);
    }
    // A new leader's log holds what is left of an earlier one's, so any of its positions will do.
    return session.written_round < samples.round ? position : std::nullopt;
}

}  // namespace

bool may_run_in(const session_host_state& state, const session_access& access, const data_centre_id& location) {
    return !access.in_regions_only || std::ranges::binary_search(access.regions, region_of(state, location));
}

namespace {

/// The host that runs the operation at the endpoint. Its body must not reach a host in a region that is not allowed.
host_id allowed_executor(const session_host_state& state, const session_access& access, const endpoint_id& endpoint) {
    const auto host = executor_host(state, endpoint);
    if (host == state.settings.self.id || !state.catalog.members) {
        return state.settings.self.id;
    }
    const auto& hosts = state.catalog.members->record.list.hosts;
    const auto found = std::ranges::find(hosts, host, &member::id);
    return found != hosts.end() && may_run_in(state, access, found->location) ? host : state.settings.self.id;
}

}  // namespace

std::optional<run_target> leader_target(const session_host_state& state, const session_access& access) {
    const auto* leader = serving_leader(state, access.database);
    if (leader == nullptr) {
        return std::nullopt;
    }
    const auto found = state.catalog.endpoints.find(leader->endpoint);
    if (found == state.catalog.endpoints.end() || !may_run_in(state, access, found->second.location)) {
        return std::nullopt;
    }
    return run_target{leader->endpoint, allowed_executor(state, access, leader->endpoint), leader->round};
}

std::optional<read_plan> choose_read(session_host_state& state, const caller_session& session, const open_operation& operation,
                                     instant now) {
    const auto& access = operation.access;
    const bool leader_only = access.policy.reads == consistency::primary || operation.at_leader;
    const auto leader = leader_target(state, access);
    std::optional<read_plan> best;
    auto best_cost = millis{0};
    const auto consider = [&](read_plan plan, millis penalty) {
        const auto& location = state.catalog.endpoints.at(plan.target.endpoint).location;
        const auto jitter = millis{static_cast<std::int64_t>(state.random() % static_cast<std::uint64_t>(jitter_ms))};
        const auto cost = path_cost(state, state.settings.self.location, location) +
                          expected_wait(state, plan.target.endpoint, plan.target.host, now) + penalty + jitter;
        if (!best || cost < best_cost) {
            best = std::move(plan);
            best_cost = cost;
        }
    };
    if (leader && !operation.tried.contains(leader->endpoint)) {
        consider({*leader, std::nullopt}, leader_cost);
    }
    if (leader_only) {
        return best;
    }
    const bool fresh_write = session.written && now - session.written_at < state.settings.entry.fresh_write_time;
    const auto position = required_position(state, session, operation, now);
    if (!position || (fresh_write && best)) {
        return best;
    }
    for (const auto& [id, entry] : state.catalog.endpoints) {
        const bool is_leader = leader && leader->endpoint == id;
        if (entry.database != access.database || is_leader || operation.tried.contains(id) || !takes_new_work(state, entry) ||
            !may_run_in(state, access, entry.location)) {
            continue;
        }
        consider({run_target{id, allowed_executor(state, access, id), 0}, position}, millis{0});
    }
    return best;
}

}  // namespace camphorstack
