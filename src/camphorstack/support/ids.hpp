#pragma once

#include <cstdint>
#include <string>

namespace camphorstack {

using host_id = std::string;
using data_centre_id = std::string;
using workspace_id = std::string;
using route_id = std::string;
using database_id = std::string;
using endpoint_id = std::string;

/// Unique over the fleet: the entry host's id, its start nonce and a counter.
using request_id = std::string;

/// Names a connection or a call within one host; never reused while the process lives.
using connection_id = std::uint64_t;
using call_id = std::uint64_t;

}  // namespace camphorstack
