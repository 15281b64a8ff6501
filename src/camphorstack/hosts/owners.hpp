#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "camphorstack/document/document.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

/// Number of watchers in a fleet of more than this many hosts; in a smaller one every host watches.
constexpr std::size_t watcher_count = 9;

/// Hosts that run one database's group, by weighted rendezvous hashing.
struct group_hosts {
    host_id owner;    ///< Empty if there are no hosts.
    host_id standby;  ///< Empty if there are fewer than two hosts.

    friend bool operator==(const group_hosts&, const group_hosts&) = default;
};

/// Weight of a candidate for a name: the higher, the earlier it is chosen. Same on all hosts.
[[nodiscard]] double rendezvous_score(std::string_view name, std::string_view candidate, double weight);

/// Owner and standby among `candidates`. Hosts in the data centre with most of the database's endpoints that may
/// receive work weigh more; hosts in a data centre that is out are chosen only if there are no others.
[[nodiscard]] group_hosts choose_group_hosts(const database& group, const document& content,
                                             const std::vector<member>& candidates);

/// Watchers of the platform by rendezvous over the agreed member list; sorted by id.
[[nodiscard]] std::vector<host_id> choose_watchers(const member_list& members);

/// Hosts that hold a share of a workspace's contract: all members up to `all_hold_up_to`, else `max_holders` of them, from as
/// many data centres as possible; sorted by id.
[[nodiscard]] std::vector<host_id> choose_share_holders(const member_list& members, const workspace_id& id,
                                                        std::size_t max_holders, std::size_t all_hold_up_to);

}  // namespace camphorstack
