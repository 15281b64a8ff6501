#include "camphorstack/hosts/evidence.hpp"

#include <catch2/catch.hpp>

#include "hosts/membership_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

// Guards against two sides of a partition that both keep serving because their watchers report the platform as unreachable. Any
// two majorities of the watchers must share a watcher.
TEST_CASE("two sets of watchers that each suffice without the platform share a watcher", "[key-withdrawal]") {
    for (std::size_t count = 1; count <= watcher_count; ++count) {
        std::vector<host_id> watchers;
        for (std::size_t i = 0; i < count; ++i) {
            watchers.push_back(host_name(i));
        }
        std::vector<std::size_t> sufficient;
        for (std::size_t subset = 0; subset < (std::size_t{1} << count); ++subset) {
            evidence_state state;
            for (std::size_t i = 0; i < count; ++i) {
                if ((subset >> i & 1) != 0) {
                    merge_evidence(state, {{watchers[i], 1, 1, false, 0_ms}}, instant{1000});
                }
            }
            if (check_recency(state, watchers, 1, instant{1000}) == recency::recent) {
                sufficient.push_back(subset);
            }
        }
        CHECK(!sufficient.empty());
        std::size_t disjoint = 0;
        for (const auto a : sufficient) {
            for (const auto b : sufficient) {
                disjoint += (a & b) == 0 ? 1 : 0;
            }
        }
        INFO("watchers " << count);
        CHECK(disjoint == 0);
    }
}

// Guards against answers that arrive late or out of order and make evidence appear younger than it is.
TEST_CASE("the age of evidence is never underestimated", "[key-withdrawal]") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random{seed};
        const auto up_to = [&random](std::int64_t most) { return static_cast<std::int64_t>(random() % (most + 1)); };
        evidence_state relay;
        evidence_state reader;
        std::map<document_version, instant> confirmed_at;  // Real time of each version's last confirmation.
        std::multimap<instant, std::pair<instant, std::vector<evidence_entry>>> answers;
        std::size_t underestimated = 0;
        for (instant now{1}; now < instant{20000}; now = now + 1_ms) {
            if (up_to(300) == 0) {
                const auto version = static_cast<document_version>(now.since_start / 1000 + 1);
                confirmed_at[version] = now;
                record_own_evidence(relay, "w", {version, 1, true, now});
            }
            if (up_to(100) == 0) {
                const auto probe_sent = now - millis{up_to(800)};  // Latency of the probe.
                answers.emplace(now + millis{up_to(800)}, std::pair{probe_sent, entries_to_share(relay, now)});
            }
            while (!answers.empty() && answers.begin()->first <= now) {
                merge_evidence(reader, answers.begin()->second.second, answers.begin()->second.first);
                answers.erase(answers.begin());
            }
            for (const auto& [version, observed] : reader.confirmed) {
                underestimated += observed > confirmed_at.at(version) ? 1 : 0;
            }
        }
        INFO("seed " << seed);
        CHECK(reader.newest.size() <= 1);
        CHECK(underestimated == 0);
    }
}

// Guards against a host that keeps serving while it is cut off from platform and peers, and against a fleet that stops serving
// because the platform is down.
TEST_CASE("an isolated host stops serving within 2.5 s, and an outage of the platform stops no host", "[key-withdrawal]") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        membership_fleet fleet{seed, 8};
        fleet.run(3_s);
        INFO("seed " << seed);
        SECTION("an isolated host, seed " + std::to_string(seed)) {
            fleet.without_platform.insert(host_name(1));
            for (std::size_t i = 0; i < 8; ++i) {
                if (i != 1) {
                    fleet.network.cut(host_name(1), host_name(i));
                }
            }
            fleet.run(2500_ms);
            CHECK(fleet.recency_of(1) == recency::no_evidence);
            CHECK(fleet.recency_of(0) == recency::recent);
        }
        SECTION("an outage seen by all, seed " + std::to_string(seed)) {
            for (std::size_t i = 0; i < 8; ++i) {
                fleet.without_platform.insert(host_name(i));
            }
            std::size_t stopped = 0;
            for (int i = 0; i < 1000; ++i) {
                fleet.run(10_ms);
                for (std::size_t host = 0; host < 8; ++host) {
                    stopped += fleet.recency_of(host) == recency::recent ? 0 : 1;
                }
            }
            CHECK(stopped == 0);
        }
    }
}

// Guards against a host that keeps accepting a withdrawn key although it knows that a newer document exists.
TEST_CASE("a host behind the confirmed version stops once its own version is no longer confirmed", "[key-withdrawal]") {
    evidence_state state;
    merge_evidence(state, {{"w", 1, 1, true, 0_ms}}, instant{1000});
    merge_evidence(state, {{"w", 2, 1, true, 0_ms}}, instant{1200});
    CHECK(check_recency(state, {"w"}, 2, instant{1300}) == recency::recent);
    CHECK(check_recency(state, {"w"}, 1, instant{3000}) == recency::recent);
    CHECK(check_recency(state, {"w"}, 1, instant{3001}) == recency::behind);
    CHECK(check_recency(state, {"w"}, 2, instant{3201}) == recency::no_evidence);
    CHECK(check_recency(state, {"w"}, 0, instant{3000}) == recency::no_document);
}
