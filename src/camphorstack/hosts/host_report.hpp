#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "camphorstack/endpoints/group.hpp"
#include "camphorstack/hosts/evidence.hpp"
#include "camphorstack/hosts/host.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

struct member_report {
    member subject;
    member_state state = member_state::alive;

    friend bool operator==(const member_report&, const member_report&) = default;
};

struct database_report {
    database_id id;
    host_id owner;
    host_id standby;
    group_duty duty = group_duty::none;
    std::size_t in_flight = 0;
    std::vector<endpoint_view> endpoints;  ///< This host's view of them; empty unless it is owner or standby.

    friend bool operator==(const database_report&, const database_report&) = default;
};

struct workspace_report {
    workspace_id id;
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;
    std::uint64_t admitted = 0;                    ///< Requests admitted at this host since it started.
    std::map<std::string, std::uint64_t> refused;  ///< Requests refused since the host started, by reason.

    friend bool operator==(const workspace_report&, const workspace_report&) = default;
};

/// One host's view of the fleet, for the `status` and `explain` commands.
struct host_report {
    instant reported_at;
    host_id id;
    data_centre_id location;
    document_version version = 0;  ///< Version of the document in force at this host.
    std::uint64_t members_epoch = 0;
    recency serving = recency::no_document;  ///< Callers are served only if `recent`.
    bool leaving = false;
    std::vector<member_report> hosts;
    std::vector<data_centre> data_centres;
    std::vector<database_report> databases;
    std::vector<workspace_report> workspaces;
    std::vector<decision_record> decisions;  ///< Newest last; at most 256.

    friend bool operator==(const host_report&, const host_report&) = default;
};

[[nodiscard]] host_report report(const host_state& state, instant now);

}  // namespace camphorstack
