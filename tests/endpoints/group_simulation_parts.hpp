#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "camphorstack/endpoints/group.hpp"
#include "stand_ins/instance_model.hpp"

namespace camphorstack::tests {

struct simulation_options {
    std::uint64_t seed = 1;
    std::size_t hosts = 1;
    std::size_t instances = 3;
    std::int64_t latency = 2;          ///< Longest one-way delay in ms; the shortest is 1 ms.
    std::int64_t replication_lag = 4;  ///< Interval in ms at which a replica copies the primary's log.
    std::int64_t service_time = 1;     ///< Run time of one statement in ms.
    int slots = 2;
    int connections = 16;
    double misdelivered = 0;  ///< Probability that an answer arrives on another connection.
    double silent = 0;        ///< Probability, at each call, that the connection stops carrying calls.
};

struct simulated_instance {
    endpoint config;
    stand_ins::instance_model model;
    bool killed = false;
    bool frozen = false;    ///< Runs calls only after the freeze.
    bool cut = false;       ///< Disconnected from all hosts and instances; connections stay open.
    std::int64_t held = 0;  ///< Not used: a frozen instance holds its calls until the end of the freeze.
};

struct simulated_link {
    std::size_t target = 0;
    bool open = false;
    bool silent = false;  ///< Stays open but carries no calls.
};

struct simulated_host {
    group_state state;
    instant paused_until;  ///< The host handles no event before this time.
    std::map<connection_id, simulated_link> links;
    std::vector<decision_record> decisions;
};

struct recorded_reply {
    database_reply reply;
    instant at;
};

/// Returns the index of the instance that is primary in the highest term, or the number of instances if there is none.
inline std::size_t highest_primary(const std::vector<simulated_instance>& instances) {
    std::size_t best = instances.size();
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const auto& model = instances[index].model;
        const bool primary = model.role == endpoint_role::primary;
        if (primary && (best == instances.size() || model.term > instances[best].model.term)) {
            best = index;
        }
    }
    return best;
}

/// Returns how often the request's write ran, summed over all instances.
inline int count_runs(const std::vector<simulated_instance>& instances, const request_id& id) {
    int count = 0;
    for (const auto& instance : instances) {
        const auto found = instance.model.write_runs.find(id);
        count += found == instance.model.write_runs.end() ? 0 : found->second;
    }
    return count;
}

inline bool holds_write(const simulated_instance& instance, const request_id& id) {
    const auto& log = instance.model.log;
    return std::any_of(log.begin(), log.end(), [&](const auto& entry) { return entry.request == id; });
}

/// Lets each replica copy the log of the primary that it follows, once in `lag` milliseconds and not all at the same time.
inline void replicate_group(std::vector<simulated_instance>& instances, std::int64_t lag, instant now) {
    const auto stopped = [](const simulated_instance& instance) { return instance.killed || instance.frozen || instance.cut; };
    for (auto& replica : instances) {
        const bool due = now.since_start % lag == replica.config.address.back() % lag;
        for (const auto& primary : instances) {
            const bool linked = replica.model.followed == primary.config.address && !stopped(primary) && !stopped(replica);
            if (due && linked) {
                constexpr std::size_t copied_at_once = 1000;
                stand_ins::replicate(replica.model, primary.model, copied_at_once, now);
            }
        }
    }
}

}  // namespace camphorstack::tests
