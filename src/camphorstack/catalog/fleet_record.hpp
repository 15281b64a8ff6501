#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/hosts/member.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Counts the holders of the coordinator's duty. Rises with each change of holder.
using fence_number = std::uint64_t;

/// Counts the changes of one database's leader record. Rises with each change.
using leader_round = std::uint64_t;

/// The host that changes leaders and members.
struct coordinator_record {
    static constexpr const char* name = "coordinator";

    member host;
    std::string nonce;  ///< Of the host's process; a restarted host does not take its predecessor's duty for its own.
    fence_number fence = 0;

    friend bool operator==(const coordinator_record&, const coordinator_record&) = default;
};

/// Numbers the times at which a member was found to be unreachable.
using absence_number = std::uint64_t;

/// A member that the coordinator cannot reach.
struct unreachable_member {
    host_id id;
    absence_number absence = 0;

    friend bool operator==(const unreachable_member&, const unreachable_member&) = default;
};

/// Hosts of the fleet. A host that the coordinator cannot reach stays a member for a while, but owns no endpoint.
struct members_record {
    static constexpr const char* name = "members";

    member_list list;
    std::vector<unreachable_member> unreachable;  ///< Sorted by id.
    std::vector<host_id> leaving;                 ///< Finish what they have and own no endpoint; sorted.
    absence_number absences = 0;                  ///< Highest number given so far.

    friend bool operator==(const members_record&, const members_record&) = default;
};

enum class leader_phase : std::uint8_t {
    serving,   ///< The endpoint may be used as the primary.
    changing,  ///< No host may use any endpoint as the primary until a later record says so.
};

/// The endpoint that hosts use as a database's primary.
struct leader_record {
    database_id database;
    endpoint_id endpoint;
    leader_phase phase = leader_phase::serving;
    bool planned = false;  ///< While changing: statements in flight may end first.
    leader_round round = 0;

    friend bool operator==(const leader_record&, const leader_record&) = default;
};

/// Written by a member that is listed as unreachable and still reaches the store: it goes on using leaders, and the coordinator
/// has to wait for it. Without a claim an unreachable member has no such right.
struct absence_claim {
    host_id host;
    absence_number absence = 0;

    friend bool operator==(const absence_claim&, const absence_claim&) = default;
};

using fleet_record = std::variant<coordinator_record, members_record, leader_record, absence_claim>;

/// The member's entry among the unreachable ones; null if it is none of them.
[[nodiscard]] const unreachable_member* find_unreachable(const members_record& record, const host_id& id);

/// Name of the object that holds a record.
[[nodiscard]] std::string object_name(const fleet_record& record);
[[nodiscard]] std::string leader_object_name(const database_id& database);

/// JSON text of a record.
[[nodiscard]] std::string to_text(const fleet_record& record);

/// Reads the record of the object `name`. Throws format_error if its text does not have the required form.
[[nodiscard]] fleet_record parse_fleet_record(const std::string& name, const std::string& text);

}  // namespace camphorstack
