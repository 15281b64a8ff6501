#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// A host of the fleet and how to reach it.
struct member {
    host_id id;
    std::string address;       ///< Peer port, "ip:port".
    std::string http_address;  ///< Port for callers and operators, "ip:port".
    data_centre_id location;

    friend bool operator==(const member&, const member&) = default;
};

/// In the order in which a later one overrides an earlier one of the same incarnation.
enum class member_state : std::uint8_t { alive, leaving, suspect, dead };

/// A change of one host's state, piggybacked on probes.
struct member_update {
    member subject;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;  ///< Only the host itself raises it, to refute a suspicion or after a restart.

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// The agreed member list: the platform object `members`, whose version is the epoch.
struct member_list {
    std::uint64_t epoch = 0;
    std::vector<member> hosts;  ///< Sorted by id.

    friend bool operator==(const member_list&, const member_list&) = default;
};

}  // namespace camphorstack
