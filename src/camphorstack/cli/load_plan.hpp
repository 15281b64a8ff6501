#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

struct load_workspace {
    workspace_id id;
    std::string key;
    double rate_per_s = 0;      ///< Requests offered per second; 0: each session sends as soon as it has its answer.
    double entitled_per_s = 0;  ///< Contract rate at the fleet; 0: no limit is known.

    friend bool operator==(const load_workspace&, const load_workspace&) = default;
};

/// What one run of the load offers.
struct load_plan {
    std::vector<std::string> targets;  ///< "ip:port" of daemons, or of one instance when `direct`.
    std::vector<load_workspace> workspaces;
    route_id route;
    std::vector<database_id> databases;
    millis duration{10000};
    std::uint64_t max_requests = 0;  ///< 0: bounded by the duration only.
    std::size_t sessions = 4;        ///< Of each workspace; a session has one request open at a time.
    double read_share = 0.9;
    double aged_share = 0;         ///< Of the reads, those that accept old data.
    millis max_age{1000};          ///< Bound of these reads.
    double transaction_share = 0;  ///< Of the writes, those in a transaction of two statements.
    bool roam = true;              ///< A session sends each request to another daemon.
    bool direct = false;
    millis slow_threshold{1000};  ///< A request answered later than this counts as slowed.
    millis timeout{5000};         ///< Sent with each request as its deadline.
    std::uint64_t seed = 1;

    friend bool operator==(const load_plan&, const load_plan&) = default;
};

}  // namespace camphorstack
