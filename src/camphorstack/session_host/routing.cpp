#include "camphorstack/session_host/routing.hpp"

#include <algorithm>
#include <vector>

namespace camphorstack {

namespace {

/// Added to the leader's cost for reads, to keep the leader free for writes, which only it can run.
constexpr millis leader_cost{8};

/// Returns the network cost between this host and a data centre.
millis path_cost(const session_host_state& state, const data_centre_id& location) {
    switch (distance_to(state, location)) {
        case endpoint_distance::same_data_centre:
            return millis{0};
        case endpoint_distance::other_data_centre:
            return state.settings.entry.cross_data_centre_cost;
        case endpoint_distance::other_region:
            return state.settings.entry.cross_region_cost;
    }
    return state.settings.entry.cross_region_cost;
}

/// Returns what is known of an endpoint that could run a read.
endpoint_candidate candidate_for(const session_host_state& state, const run_target& target, millis penalty, instant now) {
    const auto& entry = state.catalog.endpoints.at(target.endpoint);
    endpoint_candidate candidate;
    candidate.path = path_cost(state, entry.location);
    candidate.penalty = penalty;
    candidate.slots = entry.slots;
    if (target.host == state.settings.self.id) {
        if (const auto own = state.executor.endpoints.find(target.endpoint); own != state.executor.endpoints.end()) {
            candidate.wait = estimated_wait(state.executor, own->second);
        }
    } else if (const auto known = state.load_evidence_by_endpoint.find(target.endpoint);
               known != state.load_evidence_by_endpoint.end()) {
        apply_evidence(candidate, known->second, state.settings.entry.choice, now);
    }
    return candidate;
}

const leader_record* serving_leader(const session_host_state& state, const database_id& database) {
    const auto found = state.catalog.leaders.find(database);
    const bool serving = found != state.catalog.leaders.end() && found->second.record.phase == leader_phase::serving;
    return serving ? &found->second.record : nullptr;
}

const session_write* find_last_write(const caller_session& session, const database_id& database) {
    const auto found = session.last_writes.find(database);
    return found == session.last_writes.end() ? nullptr : &found->second;
}

/// Returns the position that a replica must have reached to serve the read; nothing if no known position is recent enough.
std::optional<log_position> required_position(session_host_state& state, const caller_session& session,
                                              const open_operation& operation, instant now) {
    const auto& policy = operation.access.policy;
    const auto& database = operation.access.database;
    state.sample_needed_at[database] = now;
    const auto& samples = state.samples[database];
    const auto cutoff = operation.arrived - policy.max_staleness + state.settings.entry.staleness_margin;
    auto position = position_since(samples, cutoff);
    const auto* written = find_last_write(session, database);
    // The log of a later leader continues what was kept of the earlier one's, so any position of the later leader is sufficient.
    if (!position || policy.reads != consistency::read_your_writes || written == nullptr || written->round < samples.round) {
        return position;
    }
    if (written->round > samples.round) {
        return std::nullopt;
    }
    return written->position ? std::max(*position, *written->position)
                             : position_since(samples, std::max(cutoff, written->acknowledged));
}

}  // namespace

bool may_run_in(const session_host_state& state, const session_access& access, const data_centre_id& location) {
    return !access.in_regions_only || std::ranges::binary_search(access.regions, region_of(state, location));
}

namespace {

/// Returns the host that runs the operation at the endpoint: the executor, or this host if the executor is in a region that the
/// operation's text must not enter.
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
    const auto* entry = find_endpoint_of(state, access.database, leader->endpoint);
    if (entry == nullptr || !may_run_in(state, access, entry->location)) {
        return std::nullopt;
    }
    return run_target{leader->endpoint, allowed_executor(state, access, leader->endpoint), leader->round};
}

std::optional<read_plan> choose_read(session_host_state& state, const caller_session& session, const open_operation& operation,
                                     instant now) {
    const auto& access = operation.access;
    const bool leader_only = access.policy.reads == consistency::primary;
    const auto leader = leader_target(state, access);
    std::vector<read_plan> plans;
    std::vector<endpoint_candidate> candidates;
    const auto consider = [&](read_plan plan, millis penalty) {
        candidates.push_back(candidate_for(state, plan.target, penalty, now));
        plans.push_back(std::move(plan));
    };
    const auto best = [&]() -> std::optional<read_plan> {
        const auto chosen = choose_candidate(candidates, state.settings.entry.choice, state.random);
        return chosen ? std::optional{plans[*chosen]} : std::nullopt;
    };
    if (leader && !operation.tried.contains(leader->endpoint)) {
        consider({*leader, std::nullopt}, leader_cost);
    }
    if (leader_only) {
        return best();
    }
    const auto* written = find_last_write(session, access.database);
    const bool fresh_write = written != nullptr && now - written->acknowledged < state.settings.entry.fresh_write_time;
    const auto position = required_position(state, session, operation, now);
    if (!position || (fresh_write && !plans.empty())) {
        return best();
    }
    for (const auto& [id, entry] : state.catalog.endpoints) {
        const bool is_leader = leader && leader->endpoint == id;
        if (entry.database != access.database || is_leader || operation.tried.contains(id) || !takes_new_work(state, entry) ||
            !may_run_in(state, access, entry.location)) {
            continue;
        }
        consider({run_target{id, allowed_executor(state, access, id), 0}, position}, millis{0});
    }
    return best();
}

}  // namespace camphorstack
