#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/hosts/member.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Fencing number of the coordinator role. Increases each time the role moves to another process.
using fence_number = std::uint64_t;

/// Number of changes of a database's leader record. Increases with each change.
using leader_round = std::uint64_t;

/// Names the host that holds the coordinator role. Only this host changes leaders and members.
struct coordinator_record {
    static constexpr const char* name = "coordinator";

    member host;
    std::string nonce;  ///< Of the host's process, so that a restarted host does not assume that it still holds the role.
    fence_number fence = 0;

    friend bool operator==(const coordinator_record&, const coordinator_record&) = default;
};

/// Number of an unreachable interval: a time for which the coordinator lists a member as unreachable. Unique among all members.
/// The stored field with this number is called `absence`.
using unreachable_interval_number = std::uint64_t;

/// A member that the coordinator cannot reach.
struct unreachable_member {
    host_id id;
    unreachable_interval_number interval = 0;

    friend bool operator==(const unreachable_member&, const unreachable_member&) = default;
};

/// The hosts of the fleet. An unreachable host remains a member for a limited time, but owns no endpoint.
struct members_record {
    static constexpr const char* name = "members";

    member_list list;
    std::vector<unreachable_member> unreachable;  ///< Sorted by id.
    std::vector<host_id> leaving;                 ///< Members that shut down: they finish open work and own no endpoint. Sorted.
    unreachable_interval_number last_unreachable_interval = 0;  ///< Highest number assigned so far; stored as `absences`.

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
    bool planned = false;  ///< While changing: statements in flight may finish first.
    leader_round round = 0;

    friend bool operator==(const leader_record&, const leader_record&) = default;
};

/// Written by a member that is listed as unreachable but still reaches the store. With the claim the member may continue to use
/// leaders, and the coordinator must wait for it before it changes a leader. Without a claim an unreachable member may not use
/// leaders.
struct unreachable_claim {
    host_id host;
    unreachable_interval_number interval = 0;

    friend bool operator==(const unreachable_claim&, const unreachable_claim&) = default;
};

using fleet_record = std::variant<coordinator_record, members_record, leader_record, unreachable_claim>;

/// Returns the entry of an unreachable member, or null if the member is not listed as unreachable.
[[nodiscard]] const unreachable_member* find_unreachable(const members_record& record, const host_id& id);

/// Returns the name of the object that holds a record.
[[nodiscard]] std::string object_name(const fleet_record& record);
/// Returns the name of the object that holds a database's leader record.
[[nodiscard]] std::string leader_object_name(const database_id& database);

/// Formats a record as JSON.
[[nodiscard]] std::string to_text(const fleet_record& record);

/// Parses the text of the object `name`. Throws format_error if it is not a valid record.
[[nodiscard]] fleet_record parse_fleet_record(const std::string& name, const std::string& text);

}  // namespace camphorstack
