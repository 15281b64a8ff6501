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

/// The agreed member list. Hosts with a `host_state` store it as the platform object `members`, whose version is the epoch;
/// session hosts store it with its epoch in the `members_record`.
struct member_list {
    std::uint64_t epoch = 0;
    std::vector<member> hosts;  ///< Sorted by id.

    friend bool operator==(const member_list&, const member_list&) = default;
};

}  // namespace camphorstack
