#include "camphorstack/balancing/endpoint_choice.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <numeric>
#include <utility>

using namespace camphorstack;

namespace {

constexpr std::size_t regions = 3;
constexpr std::size_t slots = 4;
constexpr std::int64_t service_ms = 9;
constexpr std::int64_t path_ms = 18;
constexpr std::int64_t window_ms = 100;

struct run {
    std::size_t host;
    std::int64_t asked;
    std::int64_t at;  ///< When it reaches the endpoint, ends there, or its answer is back.
    millis wait;
};

struct load {
    std::size_t hosts = 0;
    std::array<double, regions> per_s{};  ///< Reads a second of each region's callers.
    std::int64_t until = 0;
    std::int64_t silent_from = 0;  ///< The endpoint of region 1 starts nothing from here...
    std::int64_t silent_until = 0;
    std::uint64_t seed = 0;
};

struct result {
    double busiest = 0;  ///< Reads that reach the busiest endpoint against the mean of the three; 99th percentile of the windows.
    std::size_t longest_queue = 0;
    double mean_ms = 0;
    std::int64_t p99_ms = 0;
    double late = 0;        ///< Share of the reads that took over half a second.
    double away = 0;        ///< Share of the reads that went to another region.
    std::int64_t herd = 0;  ///< Most reads in one window at the endpoint that was silent, in the second after its return.
};

result& operator+=(result& sum, const result& item) {
    sum.busiest += item.busiest;
    sum.longest_queue += item.longest_queue;
    sum.mean_ms += item.mean_ms;
    sum.p99_ms += item.p99_ms;
    sum.late += item.late;
    sum.away += item.away;
    sum.herd += item.herd;
    return sum;
}

using chooser = std::function<std::size_t(std::array<load_evidence, regions>&, std::size_t region, instant, random_source&)>;

millis path_between(std::size_t from, std::size_t to) {
    return millis{from == to ? 0 : path_ms};
}

/// The leader is the endpoint of region 2.
millis penalty_of(std::size_t endpoint) {
    return millis{endpoint == 2 ? 8 : 0};
}

/// The rule before: the lowest of path, last reported wait, penalty and up to 3 ms of jitter.
std::size_t lowest_report(std::array<load_evidence, regions>& known, std::size_t region, instant now, random_source& random) {
    std::array<std::int64_t, regions> cost{};
    for (std::size_t i = 0; i < regions; ++i) {
        const bool recent = known[i].reported_at && now - *known[i].reported_at < millis{500};
        cost[i] = (path_between(region, i) + penalty_of(i) + (recent ? known[i].wait : millis{0})).count +
                  static_cast<std::int64_t>(random() % 3);
    }
    return static_cast<std::size_t>(std::ranges::min_element(cost) - cost.begin());
}

std::size_t balanced(std::array<load_evidence, regions>& known, std::size_t region, instant now, random_source& random) {
    const choice_settings settings;
    std::vector<endpoint_candidate> candidates(regions);
    for (std::size_t i = 0; i < regions; ++i) {
        candidates[i].path = path_between(region, i);
        candidates[i].penalty = penalty_of(i);
        candidates[i].slots = 4;
        apply_evidence(candidates[i], known[i], settings, now);
    }
    return *choose_candidate(candidates, settings, random);
}

/// Takes the items out of `from` whose time has come.
std::vector<run> take_due(std::vector<run>& from, std::int64_t now) {
    const auto due = std::stable_partition(from.begin(), from.end(), [&](const run& item) { return item.at > now; });
    std::vector<run> taken(due, from.end());
    from.erase(due, from.end());
    return taken;
}

struct endpoint_model {
    std::vector<run> travelling;
    std::deque<run> queue;
    std::vector<run> running;
    std::vector<run> answers;
    std::int64_t arrivals = 0;  ///< In this window.

    void step(std::size_t region, bool silent, std::int64_t now) {
        for (const auto& item : take_due(this->travelling, now)) {
            this->queue.push_back(item);
            ++this->arrivals;
        }
        for (auto& item : take_due(this->running, now)) {
            const auto ahead = this->queue.size() + this->running.size();
            item.wait = millis{static_cast<std::int64_t>(std::max(ahead + 1, slots) - slots) * service_ms / std::int64_t{slots}};
            item.at = now + path_between(item.host % regions, region).count / 2;
            this->answers.push_back(item);
        }
        while (!silent && this->running.size() < slots && !this->queue.empty()) {
            this->running.push_back(this->queue.front());
            this->running.back().at = now + service_ms;
            this->queue.pop_front();
        }
    }
};

/// Plays the load in steps of a millisecond. A host learns an endpoint's queue time only from its own answers.
result play(const load& played, const chooser& choose) {
    random_source arrival_random{played.seed};  // Callers do the same whatever is chosen.
    random_source random{8};
    std::vector<std::array<load_evidence, regions>> known(played.hosts);
    std::array<endpoint_model, regions> endpoints;
    std::vector<std::int64_t> times;
    std::vector<double> busiest;
    result measured;
    double sent = 0;
    for (std::int64_t now = 0; now < played.until; ++now) {
        for (std::size_t region = 0; region < regions; ++region) {
            std::poisson_distribution<int> count{played.per_s[region] / 1000};
            for (int i = count(arrival_random); i > 0; --i, ++sent) {
                // Every third host is in the same region.
                const auto host = region + regions * (arrival_random() % ((played.hosts - region + regions - 1) / regions));
                const auto chosen = choose(known[host], region, instant{now}, random);
                record_sent(known[host][chosen], instant{now});
                endpoints[chosen].travelling.push_back({host, now, now + path_between(region, chosen).count / 2, {}});
                measured.away += chosen == region ? 0 : 1;
            }
        }
        for (std::size_t i = 0; i < regions; ++i) {
            endpoints[i].step(i, i == 1 && now >= played.silent_from && now < played.silent_until, now);
            for (const auto& item : take_due(endpoints[i].answers, now)) {
                record_report(known[item.host][i], item.wait, instant{now});
                times.push_back(now - item.asked);
            }
            measured.longest_queue = std::max(measured.longest_queue, endpoints[i].queue.size());
        }
        if (now % window_ms == window_ms - 1) {
            if (now > played.silent_until && now <= played.silent_until + 1000) {
                measured.herd = std::max(measured.herd, endpoints[1].arrivals);
            }
            std::array<double, regions> arrivals{};
            for (std::size_t i = 0; i < regions; ++i) {
                arrivals[i] = static_cast<double>(std::exchange(endpoints[i].arrivals, 0));
            }
            busiest.push_back(std::ranges::max(arrivals) * regions / std::max(1.0, arrivals[0] + arrivals[1] + arrivals[2]));
        }
    }
    std::ranges::sort(times);
    std::ranges::sort(busiest);
    const auto served = static_cast<double>(times.size());
    measured.mean_ms = std::accumulate(times.begin(), times.end(), 0.0) / served;
    measured.p99_ms = times[times.size() * 99 / 100];
    measured.busiest = busiest[busiest.size() * 99 / 100];
    measured.late = static_cast<double>(times.end() - std::ranges::upper_bound(times, 500)) / served;
    measured.away /= sent;
    return measured;
}

constexpr std::uint64_t first_seed = 20;
constexpr std::uint64_t last_seed = 26;
constexpr auto seeds = static_cast<std::int64_t>(last_seed - first_seed);

}  // namespace

// Guards against hosts that hear the same old queue time and all move to, or back to, the same endpoint.
TEST_CASE("hosts with old news divide reads evenly", "[balancing]") {
    const auto hosts = GENERATE(std::size_t{8}, std::size_t{88}, std::size_t{300});
    CAPTURE(hosts);
    const auto compare = [](load played) {
        std::pair<result, result> sums;
        for (played.seed = first_seed; played.seed < last_seed; ++played.seed) {
            sums.first += play(played, lowest_report);
            sums.second += play(played, balanced);
        }
        return sums;
    };
    SECTION("calm: none leave the region, or next to none where the queue is longer than the path for a moment") {
        CHECK(compare({hosts, {150, 100, 60}, 60000, 0, 0, 0}).second.away == 0);
        const auto [before, after] = compare({hosts, {230, 100, 60}, 60000, 0, 0, 0});
        CHECK(after.away <= before.away + seeds * 0.0001);  // One read in 10,000.
        CHECK(after.busiest <= before.busiest);
        CHECK(after.mean_ms <= before.mean_ms * 1.001);
        CHECK(after.p99_ms <= before.p99_ms);
    }
    SECTION("a region with more callers than its endpoint serves is served sooner with less sent away") {
        const auto [before, after] = compare({hosts, {600, 200, 150}, 60000, 0, 0, 0});
        CHECK(after.away <= before.away);
        CHECK(after.busiest <= before.busiest);
        CHECK(after.longest_queue <= before.longest_queue);
        CHECK(after.mean_ms <= before.mean_ms);
        CHECK(after.p99_ms <= before.p99_ms);
    }
    SECTION("an endpoint is silent for two seconds and comes back") {
        const auto [before, after] = compare({hosts, {300, 250, 150}, 10000, 4000, 6000, 0});
        CHECK(after.longest_queue * 10 < before.longest_queue * 6);
        CHECK(after.mean_ms < before.mean_ms * 0.6);
        CHECK(after.p99_ms <= before.p99_ms);
        CHECK(after.late < before.late / 2);
        CHECK(after.herd <= 50 * seeds);  // Its usual share is 25 in a window.
    }
}

TEST_CASE("an idle near endpoint is preferred to one in another region", "[balancing]") {
    const choice_settings settings;
    random_source random{3};
    std::vector<endpoint_candidate> candidates(2);
    candidates[1].path = millis{path_ms};
    candidates[0].slots = 4;
    candidates[0].wait = GENERATE(millis{0}, millis{path_ms - 3});
    candidates[0].wait_age = GENERATE(millis{0}, millis{90}, millis{1500}, millis{9000});
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(choose_candidate(candidates, settings, random) == std::size_t{0});
    }
    CHECK(!choose_candidate({}, settings, random));
}

TEST_CASE("runs without an answer count as load, and are forgotten after the lifetime", "[balancing]") {
    const choice_settings settings;
    load_evidence evidence;
    const auto cost_at = [&](instant now) {
        endpoint_candidate candidate;
        candidate.slots = 4;
        apply_evidence(candidate, evidence, settings, now);
        return expected_cost(candidate, settings);
    };
    record_sent(evidence, instant{0});
    CHECK(cost_at(instant{1000}) == 0);  // One long statement.
    for (int i = 0; i < 6; ++i) {
        record_sent(evidence, instant{1000});
    }
    CHECK(cost_at(instant{1000}) == 10);  // Seven runs, of which three find a free slot.
    CHECK(cost_at(instant{1500}) == 440);
    CHECK(cost_at(instant{3000}) == 0);
    record_report(evidence, millis{40}, instant{1600});
    CHECK(cost_at(instant{1600}) == 40);
    CHECK(cost_at(instant{3600}) == 0);
}
