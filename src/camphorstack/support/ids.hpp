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

/// Unique in the fleet. Consists of the entry host's id, the host's start nonce and a counter.
using request_id = std::string;

/// Identifies a connection or a call within one host. Not reused during the lifetime of the process.
using connection_id = std::uint64_t;
using call_id = std::uint64_t;

}  // namespace camphorstack
