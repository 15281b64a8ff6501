#include "camphorstack/cli/fleet_status.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "camphorstack/hosts/evidence.hpp"

namespace camphorstack {

namespace {

const host_status* newest_status(const std::vector<fleet_host>& hosts) {
    const host_status* newest = nullptr;
    for (const auto& host : hosts) {
        if (host.status && (newest == nullptr || host.status->version > newest->version)) {
            newest = &*host.status;
        }
    }
    return newest;
}

/// Returns the entries of a database from the hosts that report to own it; if no host does, the entry with the most endpoints.
std::vector<fleet_database> owner_entries(const std::vector<fleet_host>& hosts, const database_id& id) {
    std::vector<fleet_database> owners;
    std::optional<fleet_database> fallback;
    for (const auto& host : hosts) {
        if (!host.status) {
            continue;
        }
        for (const auto& entry : host.status->databases) {
            if (entry.id != id) {
                continue;
            }
            if (entry.duty == "owner") {
                owners.push_back({host.status->id, entry});
            }
            if (!fallback || entry.endpoints.size() > fallback->status.endpoints.size()) {
                fallback = fleet_database{host.status->id, entry};
            }
        }
    }
    if (owners.empty() && fallback) {
        owners.push_back(*fallback);
    }
    return owners;
}

std::vector<fleet_database> merge_databases(const std::vector<fleet_host>& hosts) {
    std::set<database_id> ids;
    for (const auto& host : hosts) {
        if (host.status) {
            std::ranges::transform(host.status->databases, std::inserter(ids, ids.end()), &database_status::id);
        }
    }
    std::vector<fleet_database> merged;
    for (const auto& id : ids) {
        std::ranges::copy(owner_entries(hosts, id), std::back_inserter(merged));
    }
    return merged;
}

std::vector<workspace_status> merge_workspaces(const std::vector<fleet_host>& hosts, const host_status& newest) {
    std::map<workspace_id, workspace_status> merged;
    for (const auto& entry : newest.workspaces) {
        merged[entry.id] = {entry.id, entry.rate_per_s, entry.burst, 0, {}};
    }
    for (const auto& host : hosts) {
        if (!host.status) {
            continue;
        }
        for (const auto& entry : host.status->workspaces) {
            auto& sum = merged[entry.id];
            sum.id = entry.id;
            sum.admitted += entry.admitted;
            for (const auto& [reason, count] : entry.refused) {
                sum.refused[reason] += count;
            }
        }
    }
    std::vector<workspace_status> list;
    std::ranges::transform(merged, std::back_inserter(list), [](auto& entry) { return std::move(entry.second); });
    return list;
}

}  // namespace

std::vector<listed_member> hosts_to_query(const host_status& first, const std::string& first_address) {
    std::map<host_id, listed_member> hosts;
    hosts[first.id] = {{first.id, "", first_address, first.location}, first.leaving ? "leaving" : "alive"};
    for (const auto& entry : first.hosts) {
        // The first host's entry for itself has its state, but may hold an address that only its peers can reach.
        auto& target = hosts[entry.subject.id];
        target = entry;
        if (entry.subject.id == first.id) {
            target.subject.http_address = first_address;
        }
    }
    std::vector<listed_member> list;
    std::ranges::transform(hosts, std::back_inserter(list), [](const auto& entry) { return entry.second; });
    return list;
}

fleet_status merge_status(std::vector<fleet_host> hosts) {
    fleet_status merged;
    std::ranges::sort(hosts, {}, [](const fleet_host& host) { return host.listed.subject.id; });
    if (const auto* newest = newest_status(hosts); newest != nullptr) {
        merged.data_centres = newest->data_centres;
        merged.workspaces = merge_workspaces(hosts, *newest);
    }
    merged.databases = merge_databases(hosts);
    merged.hosts = std::move(hosts);
    return merged;
}

std::vector<std::string> lagging_hosts(const std::vector<fleet_host>& hosts, document_version version, millis waited) {
    std::vector<std::string> lagging;
    for (const auto& host : hosts) {
        const auto& id = host.listed.subject.id;
        if (host.status && host.status->version >= version) {
            continue;
        }
        if (host.status) {
            lagging.push_back(id + " (version " + std::to_string(host.status->version) + ")");
        } else if (host.listed.state != "dead" || waited <= evidence_lifetime) {
            lagging.push_back(id + " (" + host.fault + ")");
        }
    }
    return lagging;
}

std::vector<host_id> dead_hosts(const std::vector<fleet_host>& hosts) {
    std::vector<host_id> dead;
    for (const auto& host : hosts) {
        if (!host.status && host.listed.state == "dead") {
            dead.push_back(host.listed.subject.id);
        }
    }
    return dead;
}

}  // namespace camphorstack
