#include "camphorstack/contracts/shares.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "camphorstack/hosts/owners.hpp"

namespace camphorstack {

namespace {

/// Other holders in the order in which this host asks them for tokens: holders in its own data centre first, then by a rendezvous
/// score that differs per host, so that hosts do not all ask the same holder.
std::vector<host_id> order_holders(const share_state& state, const std::vector<host_id>& holders) {
    const auto& hosts = state.members.hosts;
    const auto location_of = [&hosts](const host_id& id) {
        const auto found = std::ranges::find(hosts, id, &member::id);
        return found == hosts.end() ? data_centre_id() : found->location;
    };
    const auto own_location = location_of(state.self);
    std::vector<std::tuple<bool, double, host_id>> ranked;
    ranked.reserve(holders.size());
    for (const auto& id : holders) {
        if (id != state.self) {
            ranked.emplace_back(location_of(id) != own_location, rendezvous_score(state.self, id, 1.0), id);
        }
    }
    std::ranges::sort(ranked);
    std::vector<host_id> ordered;
    ordered.reserve(ranked.size());
    for (const auto& [is_far, score, id] : ranked) {
        ordered.push_back(id);
    }
    return ordered;
}

std::map<data_centre_id, std::vector<member>> split_by_data_centre(const member_list& members) {
    std::map<data_centre_id, std::vector<member>> parts;
    for (const auto& host : members.hosts) {
        parts[host.location].push_back(host);
    }
    return parts;
}

void choose_holders(const share_state& state, const workspace_id& id, rate_limit_share& share) {
    const auto former = share.holders;
    const auto& hosts = state.members.hosts;
    share.holders = choose_share_holders(state.share_hosts, id, holder_count(state.settings, share.burst, hosts.size()));
    const bool holds = std::ranges::binary_search(share.holders, state.self);
    share.divisor = holds ? share.holders.size() : 0;
    std::erase_if(share.lenders, [&share](const auto& entry) { return !std::ranges::binary_search(share.holders, entry.first); });
    share.remote.holders = order_holders(state, share.holders);
    if (state.settings.retained_share > millis{0}) {
        // Former holders still grant tokens while the new ones have no share yet. They are asked last.
        std::vector<host_id> retained;
        std::ranges::set_difference(former, share.holders, std::back_inserter(retained));
        std::ranges::copy(order_holders(state, retained), std::back_inserter(share.remote.holders));
    }
    std::erase_if(share.remote.backoffs, [&share](const auto& entry) {
        return std::ranges::find(share.remote.holders, entry.first) == share.remote.holders.end();
    });
}

/// Chooses the holders anew. For `changeover` the smaller of the old and the new share applies.
void replace_holders(const share_state& state, const workspace_id& id, rate_limit_share& share, former_share former,
                     instant now) {
    choose_holders(state, id, share);
    const bool lost_share = share.divisor == 0 && former.divisor != 0;
    former.retained_until = lost_share ? now + state.settings.retained_share : instant{};
    share.former_shares.push_back(former);
    update_bounds(share);
}

}  // namespace

member_list choose_share_hosts(const member_list& members) {
    constexpr std::size_t fewest = 24;  ///< Four in each of six data centres.
    constexpr std::size_t hosts_per_further_one = 32;
    if (members.hosts.size() <= fewest) {
        return members;
    }
    const auto count = fewest + (members.hosts.size() - fewest) / hosts_per_further_one;
    const auto locations = split_by_data_centre(members);
    member_list chosen{members.epoch, {}};
    for (const auto& [location, hosts] : locations) {
        const auto part = std::max<std::size_t>(1, count / locations.size());
        const auto ids = choose_share_holders({members.epoch, hosts}, "hosts/" + location, part);
        std::ranges::copy_if(hosts, std::back_inserter(chosen.hosts),
                             [&ids](const member& host) { return std::ranges::binary_search(ids, host.id); });
    }
    std::ranges::sort(chosen.hosts, {}, &member::id);
    return chosen;
}

std::size_t holder_count(const share_settings& settings, millitokens burst, std::size_t host_count) {
    const auto most = host_count <= settings.all_hold_up_to ? host_count : std::min(settings.max_holders, host_count);
    if (settings.min_holder_burst <= 0) {
        return most;
    }
    const auto whole_shares = std::max<millitokens>(1, burst / (settings.min_holder_burst * request_cost));
    return std::min(most, static_cast<std::size_t>(whole_shares));
}

void update_rate_limits(share_state& state, const document& content, instant now) {
    if (content.version <= state.version && state.version != 0) {
        return;
    }
    state.version = content.version;
    std::erase_if(state.rate_limits, [&content](const auto& entry) { return find_workspace(content, entry.first) == nullptr; });
    for (const auto& item : content.workspaces) {
        const auto [entry, added] = state.rate_limits.try_emplace(item.id);
        auto& share = entry->second;
        if (added) {
            share.updated = now;
        }
        accrue(share, now);
        share.rate_per_s = item.rate_per_s * request_cost;
        share.burst = item.burst * request_cost;
        if (added) {
            replace_holders(state, item.id, share, {0, now + state.settings.share_delay, {}}, now);
        } else if (holder_count(state.settings, share.burst, state.members.hosts.size()) != share.holders.size()) {
            replace_holders(state, item.id, share, {share.divisor, now + state.settings.changeover, {}}, now);
        }
        update_bounds(share);
    }
}

void update_share_holders(share_state& state, const member_list& members, instant now) {
    if (members.epoch <= state.members.epoch) {
        return;
    }
    const bool successive = state.members.epoch != 0 && members.epoch == state.members.epoch + 1;
    state.members = members;
    state.share_hosts = choose_share_hosts(members);
    for (auto& [id, share] : state.rate_limits) {
        accrue(share, now);
        const former_share former{
            successive ? share.divisor : 0, now + (successive ? state.settings.changeover : state.settings.share_delay), {}};
        replace_holders(state, id, share, former, now);
    }
}

bool try_spend(share_state& state, const workspace_id& id, instant now) {
    const auto found = state.rate_limits.find(id);
    if (found == state.rate_limits.end()) {
        return false;
    }
    auto& share = found->second;
    accrue(share, now);
    if (share.tokens < request_cost && use_granted_operation(share.remote, now)) {
        share.waiting = std::max<std::int64_t>(0, share.waiting - 1);
        record_demand(share, now);
        return true;
    }
    if (share.tokens < request_cost) {
        share.last_attempt = std::max(share.last_attempt, now);
        share.last_shortage = now;
        share.waiting = std::max<std::int64_t>(share.waiting, 1);
        return false;
    }
    share.tokens -= request_cost;
    share.waiting = std::max<std::int64_t>(0, share.waiting - 1);
    record_demand(share, now);
    return true;
}

void set_waiting_requests(share_state& state, const workspace_id& id, std::size_t count) {
    const auto found = state.rate_limits.find(id);
    if (found != state.rate_limits.end()) {
        found->second.waiting = static_cast<std::int64_t>(count);
    }
}

}  // namespace camphorstack
