#pragma once

#include <map>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

/// Owner of each endpoint: the host that holds connections to it for all others.
///
/// Owners are hosts of the endpoint's own data centre if it has any, so that the endpoint's queue is seen without delay; each
/// owns as many as the others, give or take one. The same on all hosts that know the same members and endpoints.
[[nodiscard]] std::map<endpoint_id, host_id> choose_endpoint_owners(const endpoint_directory& endpoints,
                                                                    const std::vector<member>& hosts);

}  // namespace camphorstack
