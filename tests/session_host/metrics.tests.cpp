#include <algorithm>
#include <catch2/catch.hpp>
#include <regex>
#include <sstream>

#include "camphorstack/session_host/session_host.hpp"
#include "camphorstack/session_host/session_host_state.hpp"
#include "camphorstack/support/g_pointer.hpp"
#include "camphorstack/support/metrics.hpp"

using namespace camphorstack;

namespace {

/// Checks a page's lines against the Prometheus text format. Returns the number of samples.
std::size_t check_page(const std::string& page) {
    static const std::regex sample(R"re([a-z_]+(\{([a-z]+="([^"\\]|\\[\\"n])*",?)+\})? [-+0-9.e]+)re");
    CHECK(g_utf8_validate(page.data(), static_cast<gssize>(page.size()), nullptr) != FALSE);
    std::size_t samples = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("# ")) {
            CAPTURE(line);
            CHECK(std::regex_match(line, sample));
            ++samples;
        }
    }
    return samples;
}

}  // namespace

// Guards against a metrics page that cannot be read, or holds forged samples, because of the names in it.
TEST_CASE("names with any bytes leave the metrics page valid", "[metrics][log-fields]") {
    const std::vector<std::string> names{"w\"} 1\ncamphorstack_sessions 99", "a\\", "\xff", std::string("a\0b", 3), "\r\n", ""};
    session_host_state state;
    request_metrics latencies;
    for (const auto& name : names) {
        state.counts[name].done = 1;
        state.counts[name].failed[result_code::busy] = 2;
        state.executor.endpoints[name];
        state.reads_sent[{name, endpoint_distance::other_region}] = 1;
        latencies.record({name, request_kind::read, request_outcome::done, refusal::none, 100});
    }
    const auto page = render_metrics(state, instant{0});
    CHECK(page.find("\ncamphorstack_sessions 99") == std::string::npos);
    CHECK(check_page(page) > names.size() * 5);
    CHECK(check_page(latencies.render()) > names.size());
}
