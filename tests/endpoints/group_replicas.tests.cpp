#include <catch2/catch.hpp>

#include "endpoints/group_workload.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

/// Per cent of reads of a session's own last write that replicas served.
std::size_t replica_share(std::int64_t lag) {
    bench_options options;
    options.replication_lag = lag;
    options.latency = 8;
    group_bench bench(options);
    group_workload load(bench, 12);
    bench.run(5_s);
    std::size_t reads = 0;
    std::size_t by_replicas = 0;
    const auto primary = "i" + std::to_string(bench.primary());
    for (const auto& [id, replies] : bench.replies) {
        const bool read = bench.submitted.at(id).kind == request_kind::read;
        reads += read ? 1 : 0;
        by_replicas += read && replies.front().reply.served_by != primary ? 1 : 0;
    }
    WARN("lag " << lag << " ms: " << by_replicas << " of " << reads << " reads by replicas");
    return (by_replicas * 100) / reads;
}

}  // namespace

/// Guards against reads that fall back to the primary although a replica has confirmed the session's write.
TEST_CASE("replicas serve the reads of sessions that have just written", "[group][replica-share]") {
    CHECK(replica_share(5) >= 95);
    CHECK(replica_share(50) >= 90);
}
