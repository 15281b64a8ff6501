#include <algorithm>

#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/table.hpp"

namespace camphorstack {

namespace {

using rows = std::vector<std::vector<std::string>>;

std::string serving_text(const host_status& status) {
    if (status.leaving) {
        return "no: leaving";
    }
    return status.serving == "recent" ? "yes" : "no: " + status.serving;
}

std::string format_hosts(const std::vector<fleet_host>& hosts) {
    rows table{{"HOST", "DATA CENTRE", "STATE", "VERSION", "SERVING"}};
    for (const auto& host : hosts) {
        const auto& subject = host.listed.subject;
        table.push_back({subject.id, subject.location, host.listed.state,
                         host.status ? std::to_string(host.status->version) : "?",
                         host.status ? serving_text(*host.status) : host.fault});
    }
    return format_table(table);
}

std::string format_databases(const std::vector<fleet_database>& databases) {
    rows table{{"DATABASE", "ENDPOINT", "ROLE", "TERM", "POSITION", "AGE", "CONNECTIONS", "OWNER", "STANDBY"}};
    for (const auto& [seen_by, group] : databases) {
        // The question mark shows that no host that answered reports to own the database.
        const std::string owner = group.duty == "owner" ? seen_by : group.owner + "?";
        if (group.endpoints.empty()) {
            table.push_back({group.id, "-", "-", "-", "-", "-", "-", owner, group.standby});
        }
        for (const auto& item : group.endpoints) {
            table.push_back({group.id, item.id, item.reachable ? item.role : "unreachable", std::to_string(item.term),
                             std::to_string(item.position.term) + "/" + std::to_string(item.position.index),
                             std::to_string(item.replication_age_ms) + "ms", std::to_string(item.open_connections), owner,
                             group.standby});
        }
    }
    return format_table(table);
}

}  // namespace

std::string format_status(const fleet_status& status) {
    rows centres{{"DATA CENTRE", "REGION", "STATE"}};
    for (const auto& item : status.data_centres) {
        centres.push_back({item.id, item.region, item.state});
    }
    rows workspaces{{"WORKSPACE", "RATE/S", "BURST", "ADMITTED", "REFUSED"}};
    for (const auto& item : status.workspaces) {
        workspaces.push_back({item.id, std::to_string(item.rate_per_s), std::to_string(item.burst), std::to_string(item.admitted),
                              format_counts(item.refused)});
    }
    return format_hosts(status.hosts) + "\n" + format_table(centres) + "\n" + format_databases(status.databases) + "\n" +
           format_table(workspaces);
}

}  // namespace camphorstack
