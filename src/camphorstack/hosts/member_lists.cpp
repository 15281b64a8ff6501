#include <algorithm>
#include <map>

#include "camphorstack/hosts/membership.hpp"

namespace camphorstack {

std::vector<member> owner_candidates(const membership_state& state) {
    std::map<host_id, member> found;
    if (!state.leaving) {
        found.emplace(state.self.id, state.self);
    }
    for (const auto& [id, view] : state.others) {
        if (view.newest.state == member_state::alive) {
            found.emplace(id, view.newest.subject);
        }
    }
    std::vector<member> result;
    result.reserve(found.size());
    for (const auto& [id, host] : found) {
        result.push_back(host);
    }
    return result;
}

std::optional<std::vector<member>> proposed_members(const membership_state& state, const member_list& current, millis dead_time,
                                                    instant now) {
    std::map<host_id, member> proposed;
    for (const auto& host : current.hosts) {
        proposed.emplace(host.id, host);
    }
    proposed.erase(state.self.id);
    if (!state.leaving) {
        proposed.emplace(state.self.id, state.self);
    }
    for (const auto& [id, view] : state.others) {
        const auto& newest = view.newest;
        const bool is_removed = view.has_left || (newest.state == member_state::dead && now - view.changed >= dead_time);
        if (is_removed) {
            proposed.erase(id);
        } else if (newest.state == member_state::alive && view.is_confirmed_by_peers) {
            proposed.insert_or_assign(id, newest.subject);
        }
    }
    std::vector<member> result;
    result.reserve(proposed.size());
    for (const auto& [id, host] : proposed) {
        result.push_back(host);
    }
    if (result == current.hosts) {
        return std::nullopt;
    }
    return result;
}

}  // namespace camphorstack
