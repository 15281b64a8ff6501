#include "camphorstack/cli/load_measures.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace camphorstack {

namespace {

constexpr double min_latency_us = 10;
constexpr double max_latency_us = 100e6;
constexpr double us_per_ms = 1000;
constexpr int us_per_ms_whole = 1000;
constexpr std::size_t max_printed_violations = 20;

void record_write(database_measures& database, const load_answer& answer, instant now) {
    database.longest_gap = std::max(database.longest_gap, now - database.last_write);
    database.last_write = now;
    database.primary = answer.served_by;
}

bool is_write_or_commit(const load_request& request) {
    return request.kind == request_kind::write || request.kind == request_kind::commit;
}

/// Number of offered requests that the workspace's contract covers within the plan's duration.
double entitled_requests(const load_plan& plan, const load_workspace& workspace, const workspace_measures& measured) {
    const auto offered = static_cast<double>(measured.offered);
    const double seconds = static_cast<double>(plan.duration.count) / 1000;
    return workspace.entitled_per_s <= 0 ? offered : std::min(offered, workspace.entitled_per_s * seconds);
}

std::string format_workspace(const load_workspace& workspace, const workspace_measures& measured, double share) {
    auto text = absl::StrFormat("%-20s %9d %9d %8d %8d %8d %8.4f", workspace.id, measured.offered, measured.done,
                                measured.refused, measured.unknown, measured.slowed, share);
    for (const double quantile : {0.5, 0.9, 0.99, 0.999, 1.0}) {
        text += absl::StrFormat(" %9.2f", percentile(measured.latencies, quantile) / us_per_ms);
    }
    text += '\n';
    for (const auto& [reason, count] : measured.reasons) {
        text += absl::StrFormat("  reason=%s count=%d\n", reason, count);
    }
    return text;
}

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string format_databases(const load_measures& measures) {
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    std::string text;
    for (const auto& [id, database] : measures.databases) {
        reads += database.reads;
        replica_reads += database.replica_reads;
        text += absl::StrFormat("failover gap               %d ms (%s)\n", database.longest_gap.count, id);
    }
    return absl::StrFormat("reads served by replicas   %.4f (%d of %d)\n", ratio(replica_reads, reads), replica_reads, reads) +
           text;
}

std::string format_violations(const std::vector<std::string>& violations) {
    std::string text = absl::StrFormat("violations                 %d\n", violations.size());
    for (std::size_t i = 0; i < std::min(violations.size(), max_printed_violations); ++i) {
        text += "  " + violations[i] + "\n";
    }
    return text;
}

}  // namespace

latency_histogram make_latency_histogram() {
    constexpr unsigned bins = 411;
    return boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(bins, min_latency_us, max_latency_us));
}

double percentile(const latency_histogram& latencies, double share) {
    double total = 0;
    for (const auto& bin : boost::histogram::indexed(latencies, boost::histogram::coverage::all)) {
        total += static_cast<double>(*bin);
    }
    double below = 0;
    for (const auto& bin : boost::histogram::indexed(latencies, boost::histogram::coverage::all)) {
        below += static_cast<double>(*bin);
        if (total > 0 && below >= share * total) {
            return std::clamp(bin.bin().upper(), min_latency_us, max_latency_us);
        }
    }
    return 0;
}

load_measures start_measures(const load_plan& plan, instant now) {
    load_measures measures;
    measures.started = now;
    measures.offered_until = now + plan.duration;
    for (const auto& workspace : plan.workspaces) {
        measures.workspaces[workspace.id];
    }
    for (const auto& database : plan.databases) {
        measures.databases[database].last_write = now;
    }
    return measures;
}

void record_answer(load_measures& measures, const load_plan& plan, const workspace_id& workspace, const load_request& request,
                   const load_answer& answer, std::int64_t latency_us, instant now) {
    auto& measured = measures.workspaces[workspace];
    ++measured.offered;
    if (answer.outcome != request_outcome::done) {
        ++(answer.outcome == request_outcome::not_run ? measured.refused : measured.unknown);
        ++measured.reasons[(answer.answered ? answer.reason : "no_answer") + " kind=" + to_string(request.kind) +
                           " target=" + plan.targets[request.target]];
        return;
    }
    ++measured.done;
    measured.latencies(static_cast<double>(latency_us));
    measured.slowed += latency_us > plan.slow_threshold.count * us_per_ms_whole ? 1U : 0U;
    auto& database = measures.databases[request.database];
    if (request.kind == request_kind::read) {
        ++database.reads;
        // Until a write has shown which instance is the primary, reads count as served by the primary.
        database.replica_reads += !database.primary.empty() && answer.served_by != database.primary ? 1U : 0U;
    } else if (is_write_or_commit(request)) {
        record_write(database, answer, std::min(now, measures.offered_until));
    }
}

void end_measures(load_measures& measures, instant now) {
    measures.offered_until = now;
    for (auto& [id, database] : measures.databases) {
        database.longest_gap = std::max(database.longest_gap, now - database.last_write);
    }
}

double served_share(const load_plan& plan, const load_workspace& workspace, const workspace_measures& measured) {
    const double entitled = entitled_requests(plan, workspace, measured);
    return entitled <= 0 ? 1 : std::min(1.0, static_cast<double>(measured.done) / entitled);
}

std::string format_measures(const load_measures& measures, const load_plan& plan) {
    std::string text =
        absl::StrFormat("%.1f s of load\n%-20s %9s %9s %8s %8s %8s %8s %9s %9s %9s %9s %9s\n",
                        static_cast<double>((measures.offered_until - measures.started).count) / 1000, "workspace", "offered",
                        "done", "not run", "unknown", "slowed", "served", "p50 ms", "p90", "p99", "p99.9", "max");
    std::string worst;
    double worst_share = 2;
    std::uint64_t within_rate = 0;
    std::uint64_t refused_within_rate = 0;
    workspace_measures totals;
    for (const auto& workspace : plan.workspaces) {
        const auto& measured = measures.workspaces.at(workspace.id);
        const double share = served_share(plan, workspace, measured);
        text += format_workspace(workspace, measured, share);
        if (share < worst_share) {
            worst = workspace.id;
            worst_share = share;
        }
        if (entitled_requests(plan, workspace, measured) >= static_cast<double>(measured.offered)) {
            within_rate += measured.offered;
            refused_within_rate += measured.refused;
        }
        totals.unknown += measured.unknown;
        totals.refused += measured.refused;
        totals.slowed += measured.slowed;
    }
    text += format_databases(measures);
    text += absl::StrFormat("worst-served workspace     %.4f (%s)\n", worst_share, worst);
    text += absl::StrFormat("refused inside the rate    %.5f (%d of %d)\n",
                            within_rate == 0 ? 0 : ratio(refused_within_rate, within_rate), refused_within_rate, within_rate);
    text += absl::StrFormat("broken, refused, slowed    %d, %d, %d\n", totals.unknown, totals.refused, totals.slowed);
    return text + format_violations(measures.violations);
}

}  // namespace camphorstack
