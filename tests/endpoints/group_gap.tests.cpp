#include <catch2/catch.hpp>

#include "endpoints/group_bench.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

/// Time from the loss of the primary to the first acknowledged write that was submitted after it.
millis failover_gap(std::uint64_t seed, int kind, bool platform_up) {
    bench_options options;
    options.seed = seed;
    options.latency = 10;
    group_bench bench(options);
    bench.run(millis{900 + bench.pick(0, 100)});
    bench.platform_up = platform_up;
    bench.run(100_ms);
    const auto former = bench.primary();
    if (kind == 0) {
        bench.kill(former);
    } else {
        (kind == 1 ? bench.instances[former].cut : bench.instances[former].frozen) = true;
    }
    const auto lost_at = bench.now;
    database_request write;
    write.kind = request_kind::write;
    while (bench.now - lost_at < 10_s) {
        write.statement = "PUT k" + std::to_string(bench.now.since_start) + " 1";
        bench.submit(0, write);
        bench.run(10_ms);
        for (const auto& [id, replies] : bench.replies) {
            const auto& first = replies.front();
            if (first.reply.outcome == request_outcome::done && bench.submitted_at.at(id) >= lost_at) {
                return first.at - lost_at;
            }
        }
    }
    return 10_s;
}

void check_gaps(bool platform_up, const std::string& what) {
    constexpr std::uint64_t runs_each = 100;
    std::vector<millis> gaps;
    for (int kind = 0; kind < 3; ++kind) {
        for (std::uint64_t seed = 1; seed <= runs_each; ++seed) {
            gaps.push_back(failover_gap(seed, kind, platform_up));
        }
    }
    std::sort(gaps.begin(), gaps.end());
    const auto median = gaps[gaps.size() / 2];
    const auto p99 = gaps[(gaps.size() * 99) / 100];
    WARN(what << ": failover gap over " << gaps.size() << " runs: median " << median.count << " ms, p99 " << p99.count
              << " ms, worst " << gaps.back().count << " ms");
    CHECK(p99 < 1_s);
    CHECK(gaps.back() < 6_s);
}

}  // namespace

TEST_CASE("writes resume within a second after the primary is lost", "[group][failover-gap]") {
    check_gaps(true, "platform up");
}

TEST_CASE("a reserved term keeps the failover gap short while the platform does not answer", "[group][failover-gap]") {
    check_gaps(false, "platform down");
}
