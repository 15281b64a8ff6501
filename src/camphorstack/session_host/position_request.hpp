#pragma once

#include <cstdint>

#include "camphorstack/executors/run.hpp"

namespace camphorstack {

/// A request of this host for the position of a database's primary.
struct position_request {
    database_id database;
    instant sent;

    friend bool operator==(const position_request&, const position_request&) = default;
};

/// Another host's position request, answered once this host has a position that is young enough.
struct kept_position_request {
    host_id origin;
    run_id run = 0;
    database_id database;
    leader_round round = 0;  ///< The origin has no use for the position of an earlier leader.
    instant received;

    friend bool operator==(const kept_position_request&, const kept_position_request&) = default;
};

/// Number of position requests since the host started, for the metrics.
struct position_request_counts {
    std::uint64_t sent_to_endpoints = 0;  ///< Status runs at endpoints that this host uses.
    std::uint64_t sent_to_hosts = 0;
    std::uint64_t answered = 0;  ///< Of other hosts.
    std::uint64_t expired = 0;   ///< Of other hosts; no position was known in time.
    std::uint64_t learned = 0;   ///< Positions taken from the answers to callers' statements.
};

}  // namespace camphorstack
