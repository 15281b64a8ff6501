#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "fleet/fleet.hpp"

namespace camphorstack::fleet_tests {

/// Returns the nearest-rank percentile. `values` must not be empty. With few values the 99th percentile is the highest value.
[[nodiscard]] millis percentile_of(std::vector<millis> values, double share);

/// Requests sent by one workspace, by result.
struct workspace_result {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t over_rate = 0;
    std::uint64_t refused = 0;  ///< Not run for another reason than `over_rate`.
    std::uint64_t unknown = 0;
    std::vector<millis> latencies;  ///< Latencies of the served requests.

    [[nodiscard]] double served_share() const;
    [[nodiscard]] millis percentile(double share) const;
};

/// Open-loop load: sends requests at fixed mean rates, regardless of whether earlier requests were answered.
class open_loop_load {
public:
    /// `rates_per_s` holds the rate of each workspace. A workspace sends to its hosts in `hosts_of`, or to all live hosts if
    /// `hosts_of` names none for it.
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
