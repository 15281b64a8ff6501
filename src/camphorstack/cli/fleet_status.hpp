#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/host_status.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A host of the fleet, with the status that it reported if it answered.
struct fleet_host {
    listed_member listed;
    std::optional<host_status> status;
    std::string fault;  ///< Reason why there is no status.

    friend bool operator==(const fleet_host&, const fleet_host&) = default;
};

/// Status of a database as the host `seen_by` reports it. That host is an owner of the database if any host reports to be one.
struct fleet_database {
    host_id seen_by;
    database_status status;

    friend bool operator==(const fleet_database&, const fleet_database&) = default;
};

/// Merged status of all hosts.
struct fleet_status {
    std::vector<fleet_host> hosts;                 ///< Sorted by id.
    std::vector<data_centre_status> data_centres;  ///< From the host with the newest document.
    std::vector<fleet_database> databases;         ///< From each owner; two entries of one id if two hosts report to own it.
    std::vector<workspace_status> workspaces;      ///< Admitted and refused are sums over the hosts that answered.

    friend bool operator==(const fleet_status&, const fleet_status&) = default;
};

/// Returns the hosts to query, given the status of the first host: that host and all hosts that it lists, once each, including
/// dead ones.
[[nodiscard]] std::vector<listed_member> hosts_to_query(const host_status& first, const std::string& first_address);

[[nodiscard]] fleet_status merge_status(std::vector<fleet_host> hosts);

/// Formats the status as text tables.
[[nodiscard]] std::string format_status(const fleet_status& status);
/// Formats the status as one JSON object.
[[nodiscard]] std::string format_status_json(const fleet_status& status);

/// Returns the hosts that may serve callers without the version in force, each with the reason. A host that is listed as dead and
/// does not answer counts until `waited`, the time since the version was accepted, exceeds `evidence_lifetime`: from then on its
/// evidence of older versions has expired too, and without evidence it can serve no callers.
[[nodiscard]] std::vector<std::string> lagging_hosts(const std::vector<fleet_host>& hosts, document_version version,
                                                     millis waited);

/// Returns the ids of the hosts that are listed as dead and do not answer.
[[nodiscard]] std::vector<host_id> dead_hosts(const std::vector<fleet_host>& hosts);

/// Queries the host at `address` and then all hosts that it lists, by HTTP. Throws io_error if the host at `address` does not
/// answer with its status.
[[nodiscard]] std::vector<fleet_host> fetch_fleet(const std::string& address);

}  // namespace camphorstack
