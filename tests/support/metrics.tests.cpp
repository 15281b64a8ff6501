#include "camphorstack/support/metrics.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

using namespace camphorstack;

namespace {

bool contains_text(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("buckets are cumulative and hold latencies outside their range", "[metrics]") {
    request_metrics metrics;
    for (const std::int64_t latency_us : {1, 60, 1'000, 9'999'999, 60'000'000}) {
        metrics.record({"ws", request_kind::write, request_outcome::done, refusal::none, latency_us});
    }
    const std::string text = metrics.render();
    const std::string series = R"(camphorstack_request_seconds_bucket{workspace="ws",kind="write",le=")";
    CHECK(contains_text(text, series + "5e-05\"} 1\n"));
    CHECK(contains_text(text, series + "10\"} 4\n"));
    CHECK(contains_text(text, series + "+Inf\"} 5\n"));
    CHECK(contains_text(text, R"(camphorstack_request_seconds_count{workspace="ws",kind="write"} 5)"));
    CHECK(contains_text(text, R"(camphorstack_request_seconds_sum{workspace="ws",kind="write"} 70.00106)"));
    CHECK(contains_text(text, R"(camphorstack_requests_total{kind="write",outcome="done",reason="none"} 5)"));
}

TEST_CASE("the number of series is bounded and label values are escaped", "[metrics]") {
    request_metrics metrics;
    metrics.record({"quote\" back\\ line\n", request_kind::read, request_outcome::done, refusal::none, 100});
    for (int i = 0; i < 2000; ++i) {
        metrics.record({"w" + std::to_string(i), request_kind::read, request_outcome::done, refusal::none, 100});
    }
    const std::string text = metrics.render();
    std::size_t series = 0;
    const std::string name = "camphorstack_request_seconds_count";
    for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
        ++series;
    }
    CHECK(series == request_metrics::workspace_limit + 1);
    CHECK(contains_text(text, R"(camphorstack_request_seconds_count{workspace="other",kind="read"} 1489)"));
    CHECK(contains_text(text, R"(workspace="quote\" back\\ line\n")"));
}
