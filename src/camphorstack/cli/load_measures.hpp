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

/// A histogram of microseconds from 10 us to 100 s in steps of 4%.
[[nodiscard]] latency_histogram make_latency_histogram();

/// The latency in microseconds that `share` of the entries do not exceed; 0 if there are none.
[[nodiscard]] double percentile(const latency_histogram& latencies, double share);

struct workspace_measures {
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0;                               ///< Outcome not run.
    std::uint64_t unknown = 0;                               ///< Outcome unknown, with or without an answer.
    std::uint64_t slowed = 0;                                ///< Done, but later than the plan's `slow_threshold`.
    std::map<std::string, std::uint64_t> reasons;            ///< Of requests not done, with their kind and target.
    latency_histogram latencies = make_latency_histogram();  ///< Of requests done, from the time when they were due.
};

struct database_measures {
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    endpoint_id primary;  ///< That ran the last acknowledged write.
    instant last_write;
    millis longest_gap;
};

/// What the callers of one run saw.
struct load_measures {
    instant started;
    instant offered_until;  ///< No requests are offered after this, so no gap is counted beyond it.
    std::map<workspace_id, workspace_measures> workspaces;
    std::map<database_id, database_measures> databases;
    std::vector<std::string> violations;
};

[[nodiscard]] load_measures start_measures(const load_plan& plan, instant now);

/// Counts one request. `latency_us` counts from when it was due.
void record_answer(load_measures& measures, const load_plan& plan, const workspace_id& workspace, const load_request& request,
                   const load_answer& answer, std::int64_t latency_us, instant now);

/// Takes over the end of the offered load and closes the gap since each database's last acknowledged write.
void end_measures(load_measures& measures, instant now);

/// Share of its entitlement that a workspace got: done against the lesser of offered and entitled, at most 1.
[[nodiscard]] double served_share(const load_plan& plan, const load_workspace& workspace, const workspace_measures& measured);

/// The percentiles of each workspace and the five measures, as text.
[[nodiscard]] std::string format_measures(const load_measures& measures, const load_plan& plan);

}  // namespace camphorstack
