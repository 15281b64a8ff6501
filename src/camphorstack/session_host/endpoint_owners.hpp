#pragma once

#include <map>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

/// Chooses the owner of each endpoint: the host that holds the connections to the endpoint and runs the statements of all hosts
/// there.
///
/// The owner is a host in the endpoint's data centre, if there is one, so that the owner knows the endpoint's queue without
/// network delay. The hosts of a data centre own equal numbers of its endpoints, within one. All hosts that know the same members
/// and endpoints choose the same owners.
[[nodiscard]] std::map<endpoint_id, host_id> choose_endpoint_owners(const endpoint_directory& endpoints,
                                                                    const std::vector<member>& hosts);

}  // namespace camphorstack
