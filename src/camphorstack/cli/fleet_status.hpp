#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/host_status.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A host of the fleet with its own status, if it answered.
struct fleet_host {
    listed_member listed;
    std::optional<host_status> status;
    std::string fault;  ///< Why there is no status.

    friend bool operator==(const fleet_host&, const fleet_host&) = default;
};

/// A database as the host that runs it sees it.
struct fleet_database {
    host_id seen_by;
    database_status status;

    friend bool operator==(const fleet_database&, const fleet_database&) = default;
};

/// What all hosts together tell.
struct fleet_status {
    std::vector<fleet_host> hosts;                 ///< Sorted by id.
    std::vector<data_centre_status> data_centres;  ///< From the host with the newest document.
    std::vector<fleet_database> databases;         ///< From each owner; two entries of one id if two hosts believe to own it.
    std::vector<workspace_status> workspaces;      ///< Admitted and refused are sums over the hosts that answered.

    friend bool operator==(const fleet_status&, const fleet_status&) = default;
};

/// Hosts to ask, given the answer of the first one: itself and all that it lists, once each. Dead hosts are included.
[[nodiscard]] std::vector<listed_member> hosts_to_query(const host_status& first, const std::string& first_address);

[[nodiscard]] fleet_status merge_status(std::vector<fleet_host> hosts);

/// Tables for people.
[[nodiscard]] std::string format_status(const fleet_status& status);
/// One JSON object for programs.
[[nodiscard]] std::string format_status_json(const fleet_status& status);

/// Hosts that may serve callers without the version in force, each with the reason. A host that is listed as dead and does not
/// answer counts until `waited`, the time since the version was accepted, exceeds the lifetime of evidence: from then on
/// it has no evidence of an older version either and serves no callers.
[[nodiscard]] std::vector<std::string> lagging_hosts(const std::vector<fleet_host>& hosts, document_version version,
                                                     millis waited);

/// Ids of the hosts that are listed as dead and do not answer.
[[nodiscard]] std::vector<host_id> dead_hosts(const std::vector<fleet_host>& hosts);

/// Asks the host at `address` and then all that it names, by HTTP. Throws io_error if the first one does not answer.
[[nodiscard]] std::vector<fleet_host> fetch_fleet(const std::string& address);

}  // namespace camphorstack
