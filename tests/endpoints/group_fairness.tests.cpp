#include <catch2/catch.hpp>

#include "endpoints/group_bench.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

struct share {
    std::size_t submitted = 0;
    std::size_t done = 0;
};

/// Workspace "w0" sends ten times as many writes as each of the seven others, together far more than the primary can run.
std::map<workspace_id, share> run_with_greedy_workspace(std::uint64_t seed) {
    bench_options options;
    options.seed = seed;
    options.service_time = 10;
    group_bench bench(options);
    bench.run(500_ms);
    for (int round = 0; round < 200; ++round) {
        for (int workspace = 0; workspace < 8; ++workspace) {
            for (int count = 0; count < (workspace == 0 ? 10 : 1); ++count) {
                database_request write;
                write.kind = request_kind::write;
                write.statement = "PUT k 1";
                write.workspace = "w" + std::to_string(workspace);
                write.time_left = 600_ms;
                bench.submit(0, write);
            }
        }
        bench.run(40_ms);
    }
    bench.run(1_s);
    std::map<workspace_id, share> shares;
    for (const auto& [id, request] : bench.submitted) {
        auto& one = shares[request.workspace];
        ++one.submitted;
        one.done += bench.replies.at(id).front().reply.outcome == request_outcome::done ? 1 : 0;
    }
    return shares;
}

}  // namespace

TEST_CASE("workspaces get their share while another sends ten times as much", "[group][fair-share]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto& [workspace, one] : run_with_greedy_workspace(seed)) {
            INFO("seed " << seed << " workspace " << workspace << " done " << one.done << " of " << one.submitted);
            if (workspace == "w0") {
                CHECK(one.done < one.submitted);
            } else {
                CHECK(one.done * 100 >= one.submitted * 99);
            }
        }
    }
}
