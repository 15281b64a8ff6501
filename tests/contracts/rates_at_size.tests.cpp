#include <catch2/catch.hpp>

#include "contracts/token_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

/// The settings of session hosts.
constexpr share_settings session_hosts{1000_ms, 1100_ms, 6, 16, 0_ms, 6, 600_ms};
constexpr instant full_buckets{6000};

/// Rates of a few large and many small workspaces. As on the users' platform each burst is the rate of one second.
const std::vector<std::int64_t> rates{150, 60, 30, 18, 13, 9, 7, 5, 4, 3, 2, 1};

document workspaces() {
    document content;
    content.version = 1;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        content.workspaces.push_back({"w" + std::to_string(i), {}, rates[i], rates[i]});
    }
    return content;
}

/// One bucket of a workspace for the whole fleet, without latency: what the workspace is entitled to.
struct entitlement {
    double rate_per_s = 0;
    double tokens = 0;
    instant updated;
    std::size_t admitted = 0;

    bool offer(instant now) {
        constexpr double milliseconds_per_second = 1000;
        const auto gained = this->rate_per_s * static_cast<double>((now - this->updated).count) / milliseconds_per_second;
        this->tokens = std::min(this->rate_per_s, this->tokens + gained);
        this->updated = now;
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        ++this->admitted;
        return true;
    }
};

struct load_result {
    std::size_t offered = 0;
    std::size_t entitled = 0;
    std::size_t admitted = 0;

    [[nodiscard]] double refused_wrongfully() const {
        const auto missing = this->entitled > this->admitted ? this->entitled - this->admitted : 0;
        return static_cast<double>(missing) / static_cast<double>(std::max<std::size_t>(1, this->offered));
    }
};

/// Offers operations of every workspace at random running hosts until `end`, as Poisson processes.
std::map<workspace_id, load_result> offer(token_fleet& fleet, instant end, double share_of_rate, double excess_of_first,
                                          random_source& random) {
    struct arrival {
        instant at;
        std::size_t workspace = 0;
    };
    std::vector<arrival> arrivals;
    std::vector<entitlement> entitled;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const auto rate = static_cast<double>(rates[i]);
        entitled.push_back({rate, rate, fleet.now(), 0});
        const auto per_ms = rate * share_of_rate * (i == 0 ? excess_of_first : 1) / 1000;
        std::exponential_distribution<double> gap{per_ms};
        for (double at = gap(random); at < static_cast<double>((end - fleet.now()).count); at += gap(random)) {
            arrivals.push_back({fleet.now() + millis{static_cast<std::int64_t>(at)}, i});
        }
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    const auto before = fleet.counts;
    for (const auto& next : arrivals) {
        fleet.run_until(next.at);
        std::size_t host = random() % fleet.host_count();
        while (!fleet.is_running(host)) {
            host = random() % fleet.host_count();
        }
        entitled[next.workspace].offer(next.at);
        fleet.submit(host, "w" + std::to_string(next.workspace));
    }
    fleet.run_until(end + 200_ms);
    std::map<workspace_id, load_result> results;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const auto id = "w" + std::to_string(i);
        const auto found = before.find(id);
        const auto counts = fleet.counts[id];
        const auto earlier = found == before.end() ? service_counts{} : found->second;
        results[id] = {counts.offered - earlier.offered, entitled[i].admitted, counts.admitted - earlier.admitted};
    }
    return results;
}

load_result sum_of(const std::map<workspace_id, load_result>& results) {
    load_result sum;
    for (const auto& [id, one] : results) {
        sum.offered += one.offered;
        sum.entitled += one.entitled;
        sum.admitted += one.admitted;
    }
    return sum;
}

}  // namespace

// Guards against refusals inside the rate that appear when the fleet grows: with six holders of each workspace, no holder of a
// small workspace ever saved up a whole token, and a fleet of 195 hosts refused a third of all operations on a quiet day.
TEST_CASE("workspaces inside their rate are served at every size of the fleet", "[rates][size]") {
    const auto hosts = GENERATE(as<std::size_t>{}, 7, 61, 195, 1400);
    token_fleet fleet(hosts, workspaces(), session_hosts);
    fleet.run_until(full_buckets);
    random_source random{hosts};
    const auto sum = sum_of(offer(fleet, full_buckets + 60_s, 0.61, 1, random));
    CAPTURE(hosts, sum.offered, sum.entitled, sum.admitted);
    CHECK(sum.refused_wrongfully() < 0.001);
    // Few messages for an operation: a request and its answer, and now and then a second holder.
    CHECK(fleet.messages < 3 * sum.offered);
}

// Guards against a workspace that takes the tokens of others, or that gets less than its rate because its holders run dry.
TEST_CASE("a workspace at ten times its rate gets its rate and slows no other", "[rates][size]") {
    const auto hosts = GENERATE(as<std::size_t>{}, 7, 61, 195, 1400);
    token_fleet fleet(hosts, workspaces(), session_hosts);
    fleet.run_until(full_buckets);
    random_source random{hosts};
    constexpr std::int64_t seconds = 20;
    auto results = offer(fleet, full_buckets + 20_s, 0.61, 10, random);
    CAPTURE(hosts, results["w0"].admitted);
    CHECK(static_cast<double>(results["w0"].admitted) >= 0.97 * static_cast<double>(rates[0] * seconds));
    CHECK(results["w0"].admitted <= static_cast<std::size_t>(rates[0] * (seconds + 1) + rates[0] / 4 + 1));
    results.erase("w0");
    CHECK(sum_of(results).refused_wrongfully() < 0.001);
}

// Guards against shares that stay idle after the loss of their holders.
TEST_CASE("the shares of a lost data centre are used again", "[rates][size]") {
    const auto hosts = GENERATE(as<std::size_t>{}, 61, 195, 1400);
    token_fleet fleet(hosts, workspaces(), session_hosts);
    fleet.run_until(full_buckets);
    random_source random{hosts};
    const auto gone = fleet.crash_data_centre(2);
    // The coordinator notices the loss within 1.6 s, and the others learn of it with their next report.
    fleet.run_until(fleet.now() + 1600_ms);
    fleet.publish(gone, 500_ms, random);
    fleet.run_until(fleet.now() + 400_ms);
    const auto sum = sum_of(offer(fleet, fleet.now() + 30_s, 0.61, 1, random));
    CAPTURE(hosts, sum.offered, sum.entitled, sum.admitted);
    CHECK(sum.refused_wrongfully() < 0.01);
}

// Guards against two hosts that spend the same tokens while the holders change.
TEST_CASE("changes of the holders admit no more than rate and burst", "[rates][size]") {
    const auto seed = GENERATE(range(1U, 9U));
    token_fleet fleet(61, workspaces(), session_hosts);
    fleet.run_until(full_buckets);
    random_source random{seed};
    std::set<host_id> missing;
    std::map<workspace_id, load_result> results;
    for (int change = 0; change < 12; ++change) {
        for (int i = 0; i < 8; ++i) {
            const auto id = host_name(random() % fleet.host_count());
            if (missing.erase(id) == 0) {
                missing.insert(id);
            }
        }
        fleet.publish(missing, 500_ms, random);
        offer(fleet, fleet.now() + millis{static_cast<std::int64_t>(random() % 3000)}, change % 3 == 0 ? 0.1 : 3, 1, random);
    }
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const auto id = "w" + std::to_string(i);
        CAPTURE(seed, id);
        // A grant may be used up to 250 ms after the holder spent its token.
        const auto rate = static_cast<double>(rates[i]);
        CHECK(largest_excess(fleet.admissions, id, {{instant{0}, rates[i], rates[i]}}, 0_ms) <= rate * 0.25 + 1);
    }
}

TEST_CASE("the number of holders follows the burst and the size of the fleet", "[rates]") {
    const auto holders = [](std::int64_t burst, std::size_t hosts) {
        return holder_count(session_hosts, burst * request_cost, hosts);
    };
    CHECK(holders(0, 195) == 1);
    CHECK(holders(1, 195) == 1);
    CHECK(holders(11, 195) == 1);
    CHECK(holders(12, 195) == 2);
    CHECK(holders(1000, 195) == 6);
    CHECK(holders(1000, 7) == 7);
    CHECK(holders(12, 7) == 2);
    CHECK(holders(1000, 0) == 0);
}
