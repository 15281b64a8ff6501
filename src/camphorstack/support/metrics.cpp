#include "camphorstack/support/metrics.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>
#include <utility>

namespace camphorstack {

namespace {

constexpr double min_latency_us = 50;
constexpr double max_latency_us = 10'000'000;
constexpr unsigned latency_buckets = 32;  ///< Each bucket is about 46% wider than the one before it.
constexpr double microseconds_per_second = 1'000'000;

constexpr int sum_digits = 15;
constexpr int bound_digits = 6;

namespace bh = boost::histogram;
using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), latency_axis()));

/// Latency histogram of one workspace and request kind, with the sum of its latencies.
struct latency_series {
    latency_histogram buckets =
        bh::make_histogram_with(std::vector<std::uint64_t>(), latency_axis(latency_buckets, min_latency_us, max_latency_us));
    std::int64_t sum_us = 0;
};

void render_series(std::ostringstream& out, const std::string& labels, const latency_series& series) {
    const auto& axis = series.buckets.axis();
    std::uint64_t cumulative_count = series.buckets.at(-1);
    out << "camphorstack_request_seconds_bucket{" << labels << ",le=\"" << min_latency_us / microseconds_per_second << "\"} "
        << cumulative_count << '\n';
    for (int i = 0; i < axis.size(); ++i) {
        cumulative_count += series.buckets.at(i);
        out << "camphorstack_request_seconds_bucket{" << labels << ",le=\"" << axis.bin(i).upper() / microseconds_per_second
            << "\"} " << cumulative_count << '\n';
    }
    cumulative_count += series.buckets.at(axis.size());
    out << "camphorstack_request_seconds_bucket{" << labels << ",le=\"+Inf\"} " << cumulative_count << '\n';
    const double sum_s = static_cast<double>(series.sum_us) / microseconds_per_second;
    // With the default precision of 6 digits, single requests would not be visible in a sum of hours.
    out << "camphorstack_request_seconds_sum{" << labels << "} " << std::setprecision(sum_digits) << sum_s
        << std::setprecision(bound_digits) << '\n';
    out << "camphorstack_request_seconds_count{" << labels << "} " << cumulative_count << '\n';
}

}  // namespace

std::string escape_label(const std::string& text) {
    std::string result;
    for (const char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

struct request_metrics::state {
    std::map<workspace_id, std::map<request_kind, latency_series>> latencies;
    std::map<std::tuple<request_kind, request_outcome, refusal>, std::uint64_t> counts;
};

request_metrics::request_metrics() : impl(std::make_unique<state>()) {}

request_metrics::~request_metrics() = default;

void request_metrics::record(const request_sample& sample) {
    ++this->impl->counts[{sample.kind, sample.outcome, sample.reason}];
    auto& latencies = this->impl->latencies;
    const bool has_own_series = latencies.size() < workspace_limit || latencies.contains(sample.workspace);
    latency_series& series = latencies[has_own_series ? sample.workspace : "other"][sample.kind];
    series.buckets(static_cast<double>(sample.latency_us));
    series.sum_us += sample.latency_us;
}

std::string request_metrics::render() const {
    std::ostringstream out;
    out << "# HELP camphorstack_requests_total Requests answered, by kind, outcome and reason.\n"
        << "# TYPE camphorstack_requests_total counter\n";
    for (const auto& [labels, count] : this->impl->counts) {
        const auto& [kind, outcome, reason] = labels;
        out << "camphorstack_requests_total{kind=\"" << to_string(kind) << "\",outcome=\"" << to_string(outcome) << "\",reason=\""
            << to_string(reason) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_request_seconds Time from a complete request to its answer.\n"
        << "# TYPE camphorstack_request_seconds histogram\n";
    for (const auto& [workspace, kinds] : this->impl->latencies) {
        for (const auto& [kind, series] : kinds) {
            render_series(out, "workspace=\"" + escape_label(workspace) + "\",kind=\"" + to_string(kind) + "\"", series);
        }
    }
    return out.str();
}

}  // namespace camphorstack
