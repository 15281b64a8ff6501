#include "camphorstack/coordination/candidates.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack {

namespace {

/// Returns the end of the longest log among the endpoints whose status is known.
std::optional<log_position> longest_log(const leader_change& change, const std::vector<endpoint_id>& endpoints) {
    std::optional<log_position> longest;
    for (const auto& id : endpoints) {
        if (const auto* status = status_of(change, id); status != nullptr) {
            longest = std::max(longest.value_or(status->received), status->received);
        }
    }
    return longest;
}

/// Returns the position up to which a log must reach to have every acknowledged write; nothing if too few endpoints have
/// reported theirs. The old leader's log has all writes. Without it, every write is in one of any `replicas - synchronous + 1`
/// replicas.
std::optional<log_position> acknowledged_end(const leader_change& change, const std::vector<endpoint_id>& replicas,
                                             std::size_t synchronous) {
    const auto needed = replicas.size() - std::min(replicas.size(), synchronous) + 1;
    const auto longest = longest_log(change, replicas);
    if (count_known(change, replicas) >= std::min(needed, replicas.size())) {
        return longest;
    }
    const auto* old = status_of(change, change.record.endpoint);
    return old == nullptr ? std::nullopt : std::optional(old->received);
}

bool takes_new_work(const session_host_state& state, const endpoint_id& id) {
    const auto found = state.catalog.endpoints.find(id);
    return found != state.catalog.endpoints.end() && takes_new_work(state, found->second);
}

/// Returns true if `id` is a primary, by its own view, of a later term than any that `other` knows.
bool is_primary_of_later_term(const leader_change& change, const endpoint_id& id, const endpoint_id& other) {
    const auto* status = status_of(change, id);
    const auto* known = status_of(change, other);
    return status != nullptr && known != nullptr && status->is_primary && status->term > known->term;
}

/// Returns true if the old leader still is the primary, so that it has all writes.
bool is_old_leader_primary(const session_host_state& state, const leader_change& change, const endpoint_id& best) {
    const auto& old = change.record.endpoint;
    const auto* status = status_of(change, old);
    return status != nullptr && status->is_primary && !is_primary_of_later_term(change, best, old) &&
           find_endpoint_of(state, change.record.database, old) != nullptr;
}

}  // namespace

std::vector<endpoint_id> replicas_of(const session_host_state& state, const leader_change& change) {
    std::vector<endpoint_id> found;
    for (const auto& [id, entry] : state.catalog.endpoints) {
        if (entry.database == change.record.database && id != change.record.endpoint) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<endpoint_id> candidates_of(const session_host_state& state, const leader_change& change) {
    auto found = replicas_of(state, change);
    std::erase_if(found,
                  [&](const endpoint_id& id) { return !takes_new_work(state, id) || change.refused_candidates.contains(id); });
    return found;
}

term_number newest_term(const session_host_state& state, const database_id& database) {
    const auto found = state.coordination.newest_terms.find(database);
    return found == state.coordination.newest_terms.end() ? 0 : found->second;
}

bool is_former_primary(const session_host_state& state, const leader_change& change, const endpoint_id& id) {
    const auto* status = status_of(change, id);
    return status != nullptr && status->is_primary && status->term < newest_term(state, change.record.database);
}

std::vector<endpoint_id> without_former_primaries(const session_host_state& state, const leader_change& change,
                                                  const std::vector<endpoint_id>& endpoints, millis elapsed) {
    std::vector<endpoint_id> others;
    std::ranges::copy_if(endpoints, std::back_inserter(others),
                         [&](const endpoint_id& id) { return !is_former_primary(state, change, id); });
    const bool others_answer = count_known(change, others) > 0 || status_of(change, change.record.endpoint) != nullptr;
    const bool is_last_resort = elapsed >= state.coordination.settings.catch_up_limit && !others_answer;
    return is_last_resort ? endpoints : others;
}

const endpoint_self_report* status_of(const leader_change& change, const endpoint_id& endpoint) {
    const auto found = change.statuses.find(endpoint);
    return found == change.statuses.end() ? nullptr : &found->second.status;
}

std::size_t count_known(const leader_change& change, const std::vector<endpoint_id>& endpoints) {
    return static_cast<std::size_t>(
        std::ranges::count_if(endpoints, [&](const auto& id) { return status_of(change, id) != nullptr; }));
}

std::optional<endpoint_id> best_candidate(const leader_change& change, const std::vector<endpoint_id>& candidates) {
    std::optional<endpoint_id> best;
    for (const auto& id : candidates) {
        const auto* status = status_of(change, id);
        if (status == nullptr) {
            continue;
        }
        const auto rank = [&](const endpoint_id& candidate) {
            const auto* known = status_of(change, candidate);
            return std::pair(std::max(known->is_primary ? known->term : 0, known->received.term), known->received);
        };
        if (!best || rank(id) > rank(*best)) {
            best = id;
        }
    }
    return best;
}

std::size_t synchronous_replicas_of(const session_host_state& state, const database_id& database) {
    const auto* group = find_database(*state.catalog.content, database);
    return group == nullptr ? 0 : static_cast<std::size_t>(std::max(0, group->synchronous_replicas));
}

std::optional<endpoint_id> choose_synchronous_candidate(const session_host_state& state, const leader_change& change,
                                                        millis elapsed) {
    const bool timed_out = elapsed >= state.coordination.settings.status_timeout;
    // What only a former primary holds was not acknowledged: its successor had all acknowledged writes.
    const auto replicas = without_former_primaries(state, change, replicas_of(state, change), elapsed);
    const bool all_known = count_known(change, replicas) == replicas.size();
    const auto end = acknowledged_end(change, replicas, synchronous_replicas_of(state, change.record.database));
    if (!end || (!all_known && !timed_out)) {
        return std::nullopt;
    }
    const auto has_all = [&](const std::optional<endpoint_id>& id) { return id && status_of(change, *id)->received >= *end; };
    auto usable = best_candidate(change, without_former_primaries(state, change, candidates_of(state, change), elapsed));
    const auto best = best_candidate(change, replicas);
    // A promotion that was sent before may have taken effect at an endpoint that takes no new work.
    const bool superseded = usable && is_primary_of_later_term(change, *best, *usable);
    if (has_all(usable) && !superseded) {
        return usable;
    }
    // The old leader gets some time to report its status.
    const bool may_be_primary = !timed_out && status_of(change, change.record.endpoint) == nullptr &&
                                find_endpoint_of(state, change.record.database, change.record.endpoint) != nullptr;
    if (may_be_primary) {
        return std::nullopt;
    }
    if (is_old_leader_primary(state, change, *best)) {
        // In a planned change, the old leader may still hand its log over.
        return change.record.planned ? std::nullopt : std::optional(change.record.endpoint);
    }
    return has_all(best) && !change.refused_candidates.contains(*best) ? best : std::nullopt;
}

}  // namespace camphorstack
