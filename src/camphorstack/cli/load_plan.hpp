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
    double rate_per_s = 0;      ///< Requests offered per second; 0: each session sends as soon as it has an answer.
    double entitled_per_s = 0;  ///< Contract rate at the whole fleet; 0: no limit is known.

    friend bool operator==(const load_workspace&, const load_workspace&) = default;
};

/// Parameters of one load run.
struct load_plan {
    std::vector<std::string> targets;  ///< "ip:port" of daemons, or of one instance when `direct`.
    std::vector<load_workspace> workspaces;
    route_id route;
    std::vector<database_id> databases;
    millis duration{10000};
    std::uint64_t max_requests = 0;  ///< Number of requests after which the load ends; 0: bounded by the duration only.
    std::size_t sessions = 4;        ///< Sessions of each workspace; a session has one request open at a time.
    double read_share = 0.9;
    double aged_share = 0;         ///< Share of the reads that accept old data.
    millis max_age{1000};          ///< Age bound of the reads that accept old data.
    double transaction_share = 0;  ///< Share of the writes that are transactions of two statements.
    bool roam = true;              ///< True if a session chooses a random target for each request.
    bool direct = false;           ///< True if the target is an instance, reached through libpq.
    millis slow_threshold{1000};   ///< A request answered later than this counts as slowed.
    millis timeout{5000};          ///< Deadline that is sent with each statement.
    std::uint64_t seed = 1;

    friend bool operator==(const load_plan&, const load_plan&) = default;
};

}  // namespace camphorstack
