#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr std::size_t host_count = 48;
constexpr std::size_t workspace_count = 24;
constexpr std::int64_t rate_per_s = 20;
constexpr int seconds = 6;

fleet_options large_fleet() {
    fleet_options options{.workspaces = workspace_count,
                          .rate_per_s = rate_per_s,
                          .burst = rate_per_s,
                          .service_time = millis{1},
                          .connections = 50};
    options.hosts.clear();
    for (std::size_t i = 0; i < host_count; ++i) {
        options.hosts.emplace_back(i % 3 == 0 ? "amman-a" : i % 3 == 1 ? "irbid-a" : "aqaba-a");
    }
    return options;
}

struct load_result {
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::size_t most_in_window = 0;  ///< Largest number of served statements of one workspace in any window of 5 s.
};

/// Offers load: the callers of each workspace are at random hosts and together send `share_of_rate` times the workspace's rate.
load_result offer(session_fleet& fleet, double share_of_rate) {
    random_source random{7};
    std::map<workspace_id, std::vector<session_id>> sessions;
    for (std::size_t w = 0; w < workspace_count; ++w) {
        for (int i = 0; i < 12; ++i) {
            const auto host = "host-" + std::to_string(random() % host_count);
            sessions["workspace-" + std::to_string(w)].push_back(
                fleet.connect(host, session_fleet::route_name(w % 3, consistency::bounded_staleness), session_fleet::key_of(w)));
        }
    }
    fleet.run_for(millis{100});
    load_result result;
    std::map<workspace_id, std::vector<instant>> served;
    const auto interval_ms = static_cast<std::int64_t>(1000 / (static_cast<double>(rate_per_s) * share_of_rate));
    for (std::int64_t t = 0; t < seconds * 1000; t += interval_ms) {
        for (const auto& [workspace, ids] : sessions) {
            fleet.send(ids[random() % ids.size()], read_statement("r" + std::to_string(result.asked++), "item"));
        }
        fleet.run_for(millis{interval_ms});
    }
    fleet.run_for(millis{2000});
    for (const auto& [workspace, ids] : sessions) {
        std::vector<instant> done;
        for (const auto id : ids) {
            for (const auto& received : fleet.caller(id).answers) {
                result.refused += received.answer.code == result_code::busy ? 1 : 0;
                if (received.answer.code == result_code::none) {
                    done.push_back(received.at);
                }
            }
        }
        std::ranges::sort(done, {}, &instant::since_start);
        for (std::size_t first = 0, last = 0; last < done.size(); ++last) {
            while (done[last] - done[first] > millis{5000}) {
                ++first;
            }
            result.most_in_window = std::max(result.most_in_window, last - first + 1);
        }
    }
    return result;
}

}  // namespace

// Guards against refusals inside the rate when a few hosts hold the shares and most operations arrive at other hosts. With this
// fault, a fleet of 61 hosts refused half of the operations.
TEST_CASE("a large fleet serves workspaces inside their rate wherever their callers are", "[session-fleet][rates][large]") {
    session_fleet fleet(large_fleet());
    fleet.run_for(millis{8000});
    REQUIRE(fleet.ready_hosts() == host_count);
    const auto result = offer(fleet, 0.6);
    CAPTURE(result.asked, result.refused);
    CHECK(result.refused * 1000 <= result.asked);
}

// Guards against a rate above the limit because two hosts spend the same tokens.
TEST_CASE("a large fleet enforces the rate of workspaces that ask for far more", "[session-fleet][rates][large]") {
    session_fleet fleet(large_fleet());
    fleet.run_for(millis{8000});
    const auto result = offer(fleet, 4.0);
    CAPTURE(result.asked, result.refused);
    CHECK(result.refused > result.asked / 2);
    constexpr auto bound = static_cast<std::size_t>(rate_per_s * 5 + rate_per_s);
    CHECK(result.most_in_window <= bound + bound / 10);
    CHECK(result.most_in_window >= static_cast<std::size_t>(rate_per_s * 5) * 9 / 10);
}
