#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "fleet/fleet.hpp"

namespace camphorstack::fleet_tests {

/// Nearest-rank percentile; the values must not be empty. With few values the 99th percentile is the worst one.
[[nodiscard]] millis percentile_of(std::vector<millis> values, double share);

/// What one workspace sent and got.
struct workspace_result {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t over_rate = 0;
    std::uint64_t refused = 0;  ///< Not run for any other reason.
    std::uint64_t unknown = 0;
    std::vector<millis> latencies;  ///< Of the served ones.

    [[nodiscard]] double served_share() const;
    [[nodiscard]] millis percentile(double share) const;
};

/// Sends requests at fixed mean rates, whether or not earlier ones were answered, as independent callers do.
class open_loop_load {
public:
    /// `rates_per_s` by workspace; each workspace uses the hosts of `hosts_of` (all if empty).
    open_loop_load(fleet& subject, std::vector<int> rates_per_s, int write_percent, std::uint64_t seed);

    std::map<int, std::vector<host_id>> hosts_of;
    void start(instant end);

    std::map<int, workspace_result> results;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;

private:
    void schedule_sends(int workspace, instant end);
    void send(int workspace);

    fleet& subject;
    std::vector<int> rates;
    int write_percent;
    random_source random;
    std::map<int, std::string> tokens;
    std::uint64_t next_key = 0;
};

}  // namespace camphorstack::fleet_tests
