#include "camphorstack/session_host/endpoint_owners.hpp"

#include <algorithm>

#include "camphorstack/hosts/owners.hpp"

namespace camphorstack {

namespace {

std::vector<host_id> candidate_hosts(const std::vector<member>& hosts, const data_centre_id& location) {
    std::vector<host_id> found;
    for (const auto& host : hosts) {
        if (host.location == location) {
            found.push_back(host.id);
        }
    }
    if (found.empty()) {
        for (const auto& host : hosts) {
            found.push_back(host.id);
        }
    }
    return found;
}

/// The least loaded host; among equals the one with the highest score for the endpoint.
host_id choose_owner(const endpoint_id& endpoint, const std::vector<host_id>& hosts, const std::map<host_id, int>& load) {
    const auto rank = [&](const host_id& host) {
        const auto found = load.find(host);
        return std::pair(found == load.end() ? 0 : found->second, -rendezvous_score(endpoint, host, 1.0));
    };
    return *std::ranges::min_element(hosts, {}, rank);
}

}  // namespace

std::map<endpoint_id, host_id> choose_endpoint_owners(const endpoint_directory& endpoints, const std::vector<member>& hosts) {
    std::map<endpoint_id, host_id> owners;
    if (hosts.empty()) {
        return owners;
    }
    std::map<host_id, int> load;
    for (const auto& [id, entry] : endpoints) {
        const auto owner = choose_owner(id, candidate_hosts(hosts, entry.location), load);
        ++load[owner];
        owners.emplace(id, owner);
    }
    return owners;
}

}  // namespace camphorstack
