#include <catch2/catch.hpp>
#include <functional>
#include <iostream>

#include "contracts/allocator_fleet.hpp"
#include "contracts/share_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

constexpr std::size_t host_count = 8;
constexpr instant warm_up_end{10000};  ///< By then the first changeover has ended and the buckets are full.
constexpr instant end{40000};

/// Eight workspaces, three of them large. Each burst is the rate of a quarter of a second, but at least ten requests.
document fleet_rate_limits(std::int64_t scale) {
    document content;
    content.version = 1;
    std::size_t index = 0;
    for (const std::int64_t rate : {200, 150, 100, 20, 10, 10, 5, 5}) {
        const auto scaled = rate * scale;
        content.workspaces.push_back({"w" + std::to_string(index++), {}, scaled, std::max<std::int64_t>(10, scaled / 4)});
    }
    return content;
}

/// Index of the host at which a request of a workspace arrives at `at`.
using placement = std::function<std::size_t(std::size_t workspace, instant at, random_source& random)>;

const std::vector<std::pair<std::string, placement>> placements{
    {"spread", [](std::size_t, instant, random_source& random) { return random() % host_count; }},
    {"one_host", [](std::size_t workspace, instant, random_source&) { return workspace % host_count; }},
    {"two_hosts", [](std::size_t workspace, instant, random_source& random) { return (workspace + random() % 2) % host_count; }},
    {"moving", [](std::size_t workspace, instant at, random_source&) {
         return static_cast<std::size_t>(at.since_start / 2000) * 5 % host_count + workspace;
     }}};

struct load {
    placement where;
    double share_of_rate = 0.8;  ///< Load that each workspace offers, as a fraction of its rate.
    double excess_of_first = 1;  ///< Load of workspace w0 as a multiple of its rate; 1 means `share_of_rate`.
    bool pauses = false;         ///< Host h0 pauses for 4 s in every 20 s; the load balancer avoids it meanwhile.
};

struct result {
    std::size_t offered = 0;
    std::size_t wrongful = 0;  ///< Refused requests in excess of those that one bucket for the whole fleet refuses.
    /// Of the workspaces within their rate, the lowest ratio of admitted requests to those that this one bucket admits.
    double worst_served = 1;
};

/// One bucket of a workspace for the whole fleet, without latency. It admits what the workspace is entitled to.
struct ideal_bucket {
    std::int64_t rate_per_s = 0;
    millitokens burst = 0;
    millitokens tokens = 0;
    std::size_t admitted = 0;

    void advance() { this->tokens = std::min(this->burst, this->tokens + this->rate_per_s); }
    void offer() {
        if (this->tokens >= request_cost) {
            this->tokens -= request_cost;
            ++this->admitted;
        }
    }
};

result measure(admission_scheme& scheme, const document& content, const load& offered, std::uint64_t seed) {
    random_source random{seed};
    std::vector<ideal_bucket> ideal;
    for (const auto& item : content.workspaces) {
        ideal.push_back({item.rate_per_s, item.burst * request_cost, item.burst * request_cost, 0});
    }
    while (scheme.now() < end) {
        const auto now = scheme.now();
        const auto phase = now.since_start % 20000;
        const bool h0_paused = offered.pauses && now >= warm_up_end && phase >= 10000 && phase < 14000;
        if (h0_paused && phase == 10000) {
            scheme.pause(host_name(0), 4_s);
        }
        for (std::size_t i = 0; now >= warm_up_end && i < content.workspaces.size(); ++i) {
            const auto rate = static_cast<double>(content.workspaces[i].rate_per_s);
            const bool excessive = i == 0 && offered.excess_of_first > 1;
            const auto mean = rate * (excessive ? offered.excess_of_first : offered.share_of_rate) / 1000;
            ideal[i].advance();
            for (auto count = std::poisson_distribution<int>{mean}(random); count > 0; --count) {
                auto host = offered.where(i, now, random) % host_count;
                host = h0_paused && host == 0 ? 1 : host;
                scheme.submit(host_name(host), content.workspaces[i].id);
                ideal[i].offer();
            }
        }
        scheme.step();
    }
    for (int i = 0; i < 100; ++i) {
        scheme.step();
    }
    result found;
    for (std::size_t i = offered.excess_of_first > 1 ? 1 : 0; i < content.workspaces.size(); ++i) {
        const auto& counts = scheme.counts[content.workspaces[i].id];
        found.offered += counts.offered;
        found.wrongful += ideal[i].admitted > counts.admitted ? ideal[i].admitted - counts.admitted : 0;
        const auto served =
            static_cast<double>(counts.admitted) / static_cast<double>(std::max<std::size_t>(1, ideal[i].admitted));
        found.worst_served = std::min(found.worst_served, served);
    }
    return found;
}

std::unique_ptr<admission_scheme> make_scheme(const std::string& name, const document& content, millis farthest) {
    const auto latency = [farthest](const host_id& a, const host_id& b) { return std::min(farthest, fleet_latency(a, b)); };
    if (name == "allocator") {
        return std::make_unique<allocator_fleet>(1, content, host_count, latency);
    }
    auto fleet = std::make_unique<share_fleet>(1, content, latency);
    fleet->source = name == "loans"      ? share_fleet::token_source::loans
                    : name == "requests" ? share_fleet::token_source::requests
                                         : share_fleet::token_source::none;
    std::vector<host_id> members;
    for (std::size_t i = 0; i < host_count; ++i) {
        fleet->start(host_name(i));
        members.push_back(host_name(i));
    }
    fleet->publish(members, 1_ms);
    return fleet;
}

double print_and_check(const std::string& user, std::int64_t scale, const std::string& pattern, const load& offered,
                       millis farthest, const std::string& scheme_name) {
    const auto content = fleet_rate_limits(scale);
    const auto scheme = make_scheme(scheme_name, content, farthest);
    const auto found = measure(*scheme, content, offered, 7);
    const auto wrongful = static_cast<double>(found.wrongful) / static_cast<double>(found.offered);
    std::cout << "measure: limits user=" << user << " load=" << pattern << " one_way_ms=" << farthest.count
              << " scheme=" << scheme_name << " offered=" << found.offered << " wrongful_percent=" << 100 * wrongful
              << " worst_served_percent=" << 100 * found.worst_served << "\n";
    if (scheme_name == "loans") {
        constexpr double wrongful_target = 0.001;  // design.md: wrongful rejections under 0.1%.
        constexpr double served_target = 0.99;     // design.md: the worst-served workspace gets 99%.
        CHECK(wrongful < wrongful_target);
        CHECK(found.worst_served >= served_target);
    }
    return wrongful;
}

}  // namespace

// Guards against refusals of requests within the rate because the tokens are at another host.
TEST_CASE("wrongful refusals under skewed and moving load", "[measure]") {
    for (const auto& [user, scale] : {std::pair<std::string, std::int64_t>{"authority", 1}, {"reparoo", 2}}) {
        for (const auto& [pattern, where] : placements) {
            for (const std::string scheme : {"loans", "static", "allocator", "requests"}) {
                print_and_check(user, scale, pattern, {where}, 8_ms, scheme);
            }
        }
        print_and_check(user, scale, "moving", {placements.back().second}, 1_ms, "loans");
        for (const std::string scheme : {"loans", "static", "allocator", "requests"}) {
            print_and_check(user, scale, "one_host_h0_pauses", {placements[1].second, 0.8, 1, true}, 8_ms, scheme);
            print_and_check(user, scale, "first_sends_tenfold", {placements[3].second, 0.8, 10}, 8_ms, scheme);
        }
    }
}
