#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "camphorstack/cli/load_plan.hpp"
#include "camphorstack/cli/load_request.hpp"

namespace camphorstack {

using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1.0, 2.0)));

/// Returns an empty histogram of latencies in microseconds, from 10 us to 100 s in steps of 4%.
[[nodiscard]] latency_histogram make_latency_histogram();

/// Returns the latency in microseconds that `share` of the entries do not exceed; 0 if there are no entries.
[[nodiscard]] double percentile(const latency_histogram& latencies, double share);

struct workspace_measures {
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0;                               ///< Requests with outcome not_run.
    std::uint64_t unknown = 0;                               ///< Requests with outcome unknown, with or without an answer.
    std::uint64_t slowed = 0;                                ///< Requests done, but later than the plan's `slow_threshold`.
    std::map<std::string, std::uint64_t> reasons;            ///< Requests not done, by reason, kind and target.
    latency_histogram latencies = make_latency_histogram();  ///< Latencies of requests done, from the time when they were due.
};

struct database_measures {
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    endpoint_id primary;  ///< Instance that ran the last acknowledged write.
    instant last_write;
    millis longest_gap;  ///< Longest time without an acknowledged write.
};

/// Measurements of one run as its callers saw them.
struct load_measures {
    instant started;
    instant offered_until;  ///< End of the offered load; no gap between writes is counted beyond it.
    std::map<workspace_id, workspace_measures> workspaces;
    std::map<database_id, database_measures> databases;
    std::vector<std::string> violations;
};

[[nodiscard]] load_measures start_measures(const load_plan& plan, instant now);

/// Records the answer to one request. `latency_us` counts from the time when the request was due.
void record_answer(load_measures& measures, const load_plan& plan, const workspace_id& workspace, const load_request& request,
                   const load_answer& answer, std::int64_t latency_us, instant now);

/// Records the end of the offered load, which ends the gap since each database's last acknowledged write.
void end_measures(load_measures& measures, instant now);

/// Returns the requests done of a workspace as a share of the lesser of its offered and its entitled requests, at most 1.
[[nodiscard]] double served_share(const load_plan& plan, const load_workspace& workspace, const workspace_measures& measured);

/// Formats the percentiles of each workspace, the five measures and the violations as text. The measures are: share of reads
/// served by replicas, failover gap of each database, worst-served workspace, refusals inside the rate, and the numbers of
/// unknown (printed as broken), refused and slowed requests.
[[nodiscard]] std::string format_measures(const load_measures& measures, const load_plan& plan);

}  // namespace camphorstack
