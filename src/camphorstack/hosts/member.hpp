#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// A host of the fleet and its addresses.
struct member {
    host_id id;
    std::string address;       ///< Peer port, "ip:port".
    std::string http_address;  ///< Port for callers and operators, "ip:port".
    data_centre_id location;

    friend bool operator==(const member&, const member&) = default;
};

/// State of a host as seen by others. In updates of the same incarnation, a later value overrides an earlier one.
enum class member_state : std::uint8_t { alive, leaving, suspect, dead };

/// A change of one host's state, piggybacked on probes.
struct member_update {
    member subject;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;  ///< Raised only by the host itself, to refute a suspicion or after a restart.

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// The agreed member list, stored as the platform object `members`. The version of the object is the epoch.
struct member_list {
    std::uint64_t epoch = 0;
    std::vector<member> hosts;  ///< Sorted by id.

    friend bool operator==(const member_list&, const member_list&) = default;
};

}  // namespace camphorstack
