#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "camphorstack/document/document.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

/// Number of watchers of the platform in a fleet. In a fleet with fewer hosts every host is a watcher.
constexpr std::size_t watcher_count = 9;

/// Hosts that run one database's group, chosen by weighted rendezvous hashing.
struct group_hosts {
    host_id owner;    ///< Empty if there are no hosts.
    host_id standby;  ///< Empty if there are fewer than two hosts.

    friend bool operator==(const group_hosts&, const group_hosts&) = default;
};

/// Returns the rendezvous score of a candidate for a name. Candidates with higher scores are chosen first. All hosts compute the
/// same score.
[[nodiscard]] double rendezvous_score(std::string_view name, std::string_view candidate, double weight);

/// Chooses owner and standby among `candidates`. Hosts in the data centres with the most endpoints of the database that may
/// receive work have a higher weight; hosts in a data centre that is out of service are chosen only if there are no others.
[[nodiscard]] group_hosts choose_group_hosts(const database& group, const document& content,
                                             const std::vector<member>& candidates);

/// Chooses the watchers of the platform by rendezvous hashing over the agreed member list. Sorted by id.
[[nodiscard]] std::vector<host_id> choose_watchers(const member_list& members);

/// Chooses `count` hosts, or all if there are fewer, that hold a share of a workspace's rate limit, from as many data centres as
/// possible. Sorted by id.
[[nodiscard]] std::vector<host_id> choose_share_holders(const member_list& members, const workspace_id& id, std::size_t count);

}  // namespace camphorstack
