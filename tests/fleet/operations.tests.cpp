#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "fleet/session_workload.hpp"

using namespace camphorstack;
using namespace camphorstack::fleet_tests;
using namespace camphorstack::literals;

namespace {

constexpr millis max_stop_delay{3000};  // For withdrawn keys, data centres out and leaving endpoints.

/// Work that an endpoint received, as the endpoint saw it.
struct endpoint_work {
    instant at;
    endpoint_id target;
    bool in_transaction = false;
};

std::shared_ptr<std::vector<endpoint_work>> record_work(fleet& subject) {
    auto seen = std::make_shared<std::vector<endpoint_work>>();
    subject.on_endpoint_call = [seen, &subject](const endpoint_id& target, const endpoint_call& call) {
        if (call.operation == endpoint_operation::execute || call.operation == endpoint_operation::begin) {
            seen->push_back({subject.now(), target, false});
        }
    };
    return seen;
}

std::size_t work_after(const std::vector<endpoint_work>& seen, instant from, const std::set<endpoint_id>& targets) {
    return static_cast<std::size_t>(std::count_if(
        seen.begin(), seen.end(), [&](const endpoint_work& each) { return each.at > from && targets.contains(each.target); }));
}

std::string summary(const session_workload& callers) {
    std::string result = "done " + std::to_string(callers.acknowledged);
    for (const auto& [reason, count] : callers.reasons) {
        result += ", " + reason + " " + std::to_string(count);
    }
    for (const auto& each : callers.violations()) {
        result += "\n" + each;
    }
    return result;
}

/// Sends a read with a workspace's key at each host every 50 ms and tells when the last one was done.
struct key_user {
    key_user(fleet& watched, int used_workspace) : subject(watched), workspace(used_workspace) {}

    void start(instant end) {
        this->subject.schedule(50_ms, [this, end] {
            for (const auto& host : this->subject.live_hosts()) {
                auto request = this->subject.request(this->workspace, 0, request_kind::read, "GET x");
                request.timeout = 500_ms;
                this->subject.call(host, request, [this, host](const caller_reply& reply) {
                    if (reply.outcome == request_outcome::done) {
                        this->last_done[host] = this->subject.now();
                    }
                });
            }
            if (this->subject.now() < end) {
                this->start(end);
            }
        });
    }

    fleet& subject;
    int workspace;
    std::map<host_id, instant> last_done;
};

}  // namespace

TEST_CASE("a withdrawn key stops working within 3 s at every host", "[key-withdrawal][configuration-in-force][fleet]") {
    const auto fault = GENERATE(as<std::string>{}, "none", "one host cut off", "one host frozen", "platform down right after",
                                "platform cut off from half of the hosts");
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO(fault << ", seed " << seed);
        fleet subject(reparoo_options(seed));
        wait_until_ready(subject, 3);
        key_user user(subject, 2);
        user.start(subject.now() + 9_s);
        subject.run_for(1_s);
        const auto lone = subject.host(seed % 8);
        if (fault == "one host cut off") {
            subject.cut(lone);
        } else if (fault == "one host frozen") {
            subject.freeze(lone);
        } else if (fault == "platform cut off from half of the hosts") {
            for (std::size_t i = 0; i < 4; ++i) {
                subject.cut(subject.host(i), "platform");
            }
        }
        const auto withdrawn = subject.now();
        const auto version = subject.apply("tenancy", subject.tenancy_section(2));
        if (fault == "platform down right after") {
            subject.schedule(600_ms, [&subject] { subject.set_platform_down(true); });
        }
        subject.run_for(5_s);
        subject.unfreeze(lone);
        subject.run_for(4_s);
        for (const auto& [host, last] : user.last_done) {
            INFO(host << " served the withdrawn key " << (last - withdrawn).count << " ms after its withdrawal");
            CHECK(last - withdrawn <= max_stop_delay);
        }
        if (fault == "none" || fault == "platform down right after") {
            for (const auto& host : subject.live_hosts()) {
                CHECK(subject.report_of(host).version == version);
            }
        }
    }
}

TEST_CASE("a host that is cut off from everything stops serving, and the fleet goes on without the platform",
          "[key-withdrawal][fleet]") {
    fleet subject(authority_options(5));
    wait_until_ready(subject, 3);
    SECTION("a lone host") {
        subject.cut(subject.host(4));
        subject.run_for(2500_ms);
        CHECK(subject.report_of(subject.host(4)).serving != recency::recent);
    }
    SECTION("the platform is away for five minutes") {
        subject.set_platform_down(true);
        for (int i = 0; i < 300; ++i) {
            subject.run_for(1_s);
            for (const auto& host : subject.live_hosts()) {
                REQUIRE(subject.report_of(host).serving == recency::recent);
            }
        }
    }
    SECTION("a host that starts while the platform is away serves what its peers know") {
        subject.set_platform_down(true);
        subject.run_for(3_s);
        subject.kill(subject.host(2));
        subject.run_for(3_s);
        subject.restart_host(subject.host(2));
        subject.run_for(5_s);
        CHECK(subject.report_of(subject.host(2)).serving == recency::recent);
        CHECK(subject.report_of(subject.host(2)).version == subject.report_of(subject.host(0)).version);
    }
}

TEST_CASE("an accepted configuration is in force everywhere within 9 s and does not revert", "[configuration-in-force][fleet]") {
    const auto fault = GENERATE(as<std::string>{}, "none", "a host frozen for 2 s", "platform away for 2 s", "a host restarted");
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO(fault << ", seed " << seed);
        fleet subject(authority_options(seed));
        wait_until_ready(subject, 3);
        std::map<host_id, document_version> highest;
        const auto target = subject.host(seed % 8);
        for (int change = 0; change < 5; ++change) {
            const auto version = subject.apply("data_centres", subject.data_centres_section(change % 2 == 0 ? "" : "unknown"));
            if (fault == "a host frozen for 2 s") {
                subject.freeze(target);
                subject.schedule(2_s, [&subject, target] { subject.unfreeze(target); });
            } else if (fault == "platform away for 2 s") {
                subject.set_platform_down(true);
                subject.schedule(2_s, [&subject] { subject.set_platform_down(false); });
            } else if (fault == "a host restarted") {
                subject.kill(target);
                highest.erase(target);
                subject.schedule(1_s, [&subject, target] { subject.restart_host(target); });
            }
            for (int i = 0; i < 90; ++i) {
                subject.run_for(100_ms);
                for (const auto& host : subject.live_hosts()) {
                    const auto seen = subject.report_of(host).version;
                    CHECK(seen >= highest[host]);
                    highest[host] = seen;
                }
            }
            for (const auto& host : subject.live_hosts()) {
                CHECK(subject.report_of(host).version == version);
            }
        }
    }
}

TEST_CASE("a data centre that was taken out receives no new work after 3 s, and no request is broken",
          "[data-centre-out][endpoint-leaving][graceful-shutdown][fleet]") {
    const bool whole_data_centre = GENERATE(true, false);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO((whole_data_centre ? "data centre" : "endpoint") << " out, seed " << seed);
        fleet subject(authority_options(seed));
        wait_until_ready(subject, 3);
        const auto seen = record_work(subject);
        session_workload callers(subject, {}, seed);
        const auto end = subject.now() + 14_s;
        callers.start(end);
        subject.run_for(1_s);
        const auto primary = subject.primary_of(0);
        const auto location = std::string(1, primary.back());
        const std::map<std::string, std::string> data_centre_of{{"a", "amman-a"}, {"b", "irbid-a"}, {"c", "aqaba-a"}};
        std::set<endpoint_id> leaving{primary};
        const auto out_at = subject.now();
        if (whole_data_centre) {
            leaving = {"db-0-" + location, "db-1-" + location, "db-2-" + location};
            subject.apply("data_centres", subject.data_centres_section(data_centre_of.at(location)));
        } else {
            subject.apply("databases", subject.databases_section(primary));
        }
        subject.run_for(6_s);
        const auto late = work_after(*seen, out_at + max_stop_delay, leaving);
        CHECK(late == 0);
        CHECK(subject.primary_of(0) != primary);
        subject.apply("data_centres", subject.data_centres_section(""));
        subject.apply("databases", subject.databases_section(""));
        const auto back_at = subject.now();
        subject.run_for(12_s);
        CHECK(work_after(*seen, back_at, leaving) > 0);
        INFO(summary(callers));
        CHECK(callers.violations().empty());
        CHECK(callers.not_run == 0);
        CHECK(callers.unknown == 0);
    }
}

TEST_CASE("a planned stop of hosts, one after the other, cuts no request", "[graceful-shutdown][fleet]") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        fleet subject(authority_options(seed));
        wait_until_ready(subject, 3);
        session_workload callers(subject, {}, seed);
        callers.start(subject.now() + 30_s);
        for (std::size_t i = 0; i < 6; ++i) {
            const auto leaving = i == 0 ? subject.owner_of_database(0) : subject.host(i);
            // The balancer sees the failed health check within half a second.
            callers.balanced_hosts.clear();
            for (const auto& each : subject.live_hosts()) {
                if (each != leaving) {
                    callers.balanced_hosts.push_back(each);
                }
            }
            subject.stop(leaving);
            subject.run_for(4_s);
            CHECK(subject.has_stopped(leaving));
            if (subject.has_stopped(leaving)) {
                subject.restart_host(leaving);
            }
            subject.run_for(1_s);
        }
        subject.run_for(8_s);
        INFO(summary(callers));
        CHECK(callers.violations().empty());
        CHECK(callers.unknown == 0);
        CHECK(callers.not_run == 0);
    }
}

TEST_CASE("a request runs only for the workspace of its key, and no endpoint sees a key",
          "[workspace-isolation][key-hidden][fleet]") {
    fleet subject(reparoo_options(9));
    wait_until_ready(subject, 3);
    std::string everything;
    subject.on_endpoint_call = [&](const endpoint_id&, const endpoint_call& call) {
        // Status polls carry nothing of a caller and go on all the time.
        if (call.operation != endpoint_operation::status) {
            everything += call.request + call.idempotency_key + call.statement + "\n";
        }
    };
    std::vector<caller_reply> replies;
    const auto keep = [&](const caller_reply& reply) { replies.push_back(reply); };
    auto request = subject.request(1, 0, request_kind::write, "PUT mine 1");
    subject.call(subject.host(0), request, keep);
    subject.run_for(1_s);
    REQUIRE(replies.back().outcome == request_outcome::done);
    CHECK(everything.find(request.key_sha256) == std::string::npos);
    CHECK(everything.find(fleet::key_of(1)) == std::string::npos);

    const auto expect = [&](caller_request changed, refusal reason) {
        const auto before = everything;
        subject.call(subject.host(3), std::move(changed), keep);
        subject.run_for(1_s);
        CHECK(replies.back().outcome == request_outcome::not_run);
        CHECK(replies.back().reason == reason);
        CHECK(everything == before);
    };
    SECTION("no key on a route that needs one") {
        request.key_sha256.clear();
        expect(request, refusal::bad_key);
    }
    SECTION("an unknown key") {
        request.key_sha256.back() = request.key_sha256.back() == '0' ? '1' : '0';
        expect(request, refusal::bad_key);
    }
    SECTION("another workspace's session") {
        auto other = subject.request(2, 0, request_kind::read, "GET mine");
        other.session_token = replies.back().session_token;
        expect(other, refusal::bad_token);
    }
    SECTION("another workspace's transaction") {
        subject.call(subject.host(1), subject.request(1, 0, request_kind::begin, ""), keep);
        subject.run_for(1_s);
        REQUIRE(replies.back().outcome == request_outcome::done);
        auto other = subject.request(2, 0, request_kind::statement, "PUT mine 2");
        other.transaction_token = replies.back().transaction_token;
        expect(other, refusal::bad_token);
    }
    SECTION("an unknown route") {
        request.route = "elsewhere";
        expect(request, refusal::not_routed);
    }
    SECTION("a write without a key on a route that is open to all") {
        request.key_sha256.clear();
        request.route = "public";
        expect(request, refusal::bad_key);
    }
    SECTION("a workspace that the open route does not name") {
        request.route = "public";
        expect(request, refusal::not_routed);
    }
    SECTION("a read without a key on a route that is open to all runs") {
        auto open = subject.request(1, 0, request_kind::read, "GET mine");
        open.key_sha256.clear();
        open.route = "public";
        subject.call(subject.host(3), open, keep);
        subject.run_for(1_s);
        CHECK(replies.back().outcome == request_outcome::done);
        CHECK(replies.back().workspace == fleet::workspace_name(0));
    }
}

TEST_CASE("statements of different transactions are never mixed, also when they roam over hosts",
          "[transaction-isolation][fleet]") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        fleet subject(reparoo_options(seed));
        wait_until_ready(subject, 3);
        random_source random(seed);
        std::map<int, std::string> committed;
        int finished = 0;
        constexpr int transactions = 40;
        for (int number = 0; number < transactions; ++number) {
            const auto key = "t" + std::to_string(number);
            const auto any_host = [&subject, &random] { return subject.host(random() % 8); };
            const auto send = [&subject, any_host, number](request_kind kind, const std::string& text, const std::string& token,
                                                           std::function<void(const caller_reply&)> done) {
                auto request = subject.request(number % 8, 0, kind, text);
                request.transaction_token = token;
                subject.call(any_host(), request, std::move(done));
            };
            subject.schedule(millis{static_cast<std::int64_t>(random() % 2000)}, [&, key, number, send] {
                send(request_kind::begin, "", "", [&, key, number, send](const caller_reply& begun) {
                    const auto token = begun.transaction_token;
                    send(request_kind::statement, "ADD " + key + "-x 1", token,
                         [&, key, number, send, token](const caller_reply& first) {
                             send(request_kind::statement, "ADD " + key + "-y " + (first.body.empty() ? "9" : first.body), token,
                                  [&, number, send, token](const caller_reply&) {
                                      send(number % 4 == 0 ? request_kind::rollback : request_kind::commit, "", token,
                                           [&, number](const caller_reply& last) {
                                               ++finished;
                                               committed[number] = to_string(last.outcome);
                                           });
                                  });
                         });
                });
            });
        }
        subject.run_for(12_s);
        CHECK(finished == transactions);
        const auto& values = subject.instance(subject.primary_of(0)).values;
        int done = 0;
        for (const auto& [number, outcome] : committed) {
            const auto key = "t" + std::to_string(number);
            const bool expected = number % 4 != 0 && outcome == "done";
            done += expected ? 1 : 0;
            CHECK(values.contains(key + "-x") == expected);
            CHECK(values.contains(key + "-y") == expected);
            if (expected && values.contains(key + "-y")) {
                CHECK(values.at(key + "-y") == "1");
            }
        }
        CHECK(done == transactions * 3 / 4);
    }
}
