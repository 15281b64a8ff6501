#include "camphorstack/hosts/owners.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <tuple>

namespace camphorstack {

namespace {

/// Weight of a host in a data centre with the most usable endpoints of the database; hosts elsewhere have the weight 1.
constexpr double preferred_weight = 4.0;

struct scored_host {
    bool is_usable = true;  ///< The host's data centre may receive work.
    double score = 0;
    host_id id;
};

/// Returns the number of the database's endpoints that may receive work, by data centre.
std::map<data_centre_id, int> usable_endpoints(const database& group, const document& content) {
    std::map<data_centre_id, int> counts;
    for (const auto& candidate : group.endpoints) {
        if (may_receive_work(content, candidate)) {
            ++counts[candidate.location];
        }
    }
    return counts;
}

/// Returns the `count` hosts with the highest scores, sorted by id.
std::vector<host_id> choose_hosts(const std::vector<member>& hosts, std::string_view name, std::size_t count) {
    std::vector<std::pair<double, host_id>> scored;
    scored.reserve(hosts.size());
    for (const auto& host : hosts) {
        scored.emplace_back(-rendezvous_score(name, host.id, 1.0), host.id);
    }
    const auto chosen = std::min(count, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(chosen));
    std::vector<host_id> ids;
    for (std::size_t i = 0; i < chosen; ++i) {
        ids.push_back(scored[i].second);
    }
    std::ranges::sort(ids);
    return ids;
}

}  // namespace

double rendezvous_score(std::string_view name, std::string_view candidate, double weight) {
    constexpr int mantissa_bits = 53;
    const auto seed = XXH64(name.data(), name.size(), 0);
    const auto hash = XXH64(candidate.data(), candidate.size(), seed) >> (64 - mantissa_bits);
    // Adding 0.5 keeps the value inside (0, 1), so that its logarithm is finite and not zero.
    const double uniform = std::ldexp(static_cast<double>(hash) + 0.5, -mantissa_bits);
    return weight / -std::log(uniform);
}

group_hosts choose_group_hosts(const database& group, const document& content, const std::vector<member>& candidates) {
    const auto counts = usable_endpoints(group, content);
    int highest_count = 0;
    for (const auto& [location, count] : counts) {
        highest_count = std::max(highest_count, count);
    }
    std::vector<scored_host> scored;
    scored.reserve(candidates.size());
    for (const auto& host : candidates) {
        const auto found = counts.find(host.location);
        const bool is_preferred = found != counts.end() && found->second == highest_count;
        scored.push_back({is_data_centre_in_service(content, host.location),
                          rendezvous_score(group.id, host.id, is_preferred ? preferred_weight : 1.0), host.id});
    }
    const auto chosen = std::min<std::size_t>(2, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(chosen),
                              [](const scored_host& a, const scored_host& b) {
                                  return std::tie(b.is_usable, b.score, a.id) < std::tie(a.is_usable, a.score, b.id);
                              });
    return {chosen > 0 ? scored[0].id : host_id{}, chosen > 1 ? scored[1].id : host_id{}};
}

std::vector<host_id> choose_watchers(const member_list& members) {
    return choose_hosts(members.hosts, "watchers", watcher_count);
}

std::vector<host_id> choose_share_holders(const member_list& members, const workspace_id& id, std::size_t count) {
    const auto name = "shares/" + id;
    const auto& hosts = members.hosts;
    if (hosts.size() <= count) {
        return choose_hosts(hosts, name, hosts.size());
    }
    std::map<data_centre_id, std::pair<double, host_id>> best;
    for (const auto& host : hosts) {
        auto& chosen = best[host.location];
        chosen = std::max(chosen, std::pair(rendezvous_score(name, host.id, 1.0), host.id));
    }
    std::vector<member> first;
    std::vector<member> rest;
    for (const auto& host : hosts) {
        (best.at(host.location).second == host.id ? first : rest).push_back(host);
    }
    auto holders = choose_hosts(first, name, count);
    std::ranges::copy(choose_hosts(rest, name, count - holders.size()), std::back_inserter(holders));
    std::ranges::sort(holders);
    return holders;
}

}  // namespace camphorstack
