#include <catch2/catch.hpp>

#include "camphorstack/cli/load_checker.hpp"
#include "camphorstack/cli/load_direct.hpp"
#include "camphorstack/cli/load_run.hpp"
#include "camphorstack/support/deferred_calls.hpp"
#include "stand_ins/instance_server.hpp"

using namespace camphorstack;
using namespace camphorstack::stand_ins;

namespace {

load_plan make_small_plan() {
    load_plan plan;
    plan.targets = {"127.0.0.1:1", "127.0.0.1:2"};
    plan.workspaces = {{"counters", "key", 0, 0}};
    plan.databases = {"serial-registry-1"};
    plan.duration = millis{5000};
    plan.max_requests = 300;
    plan.read_share = 0.5;
    return plan;
}

/// An in-memory fleet that loses writes, doubles writes or returns stale reads if so configured.
class faulty_fleet final : public load_transport {
public:
    void send(const load_request& request, callback done) override {
        load_answer answer;
        answer.answered = true;
        answer.outcome = request_outcome::done;
        answer.served_by = request.kind == request_kind::write ? "primary" : "replica";
        auto& value = this->values[request.statement.substr(4, request.statement.find(' ', 4) - 4)];
        const bool is_faulty = request.kind == request_kind::write && ++this->writes % 10 == 0;
        if (request.kind == request_kind::write) {
            value += is_faulty && this->loses_writes ? 0 : is_faulty && this->doubles_writes ? 2 : 1;
        }
        answer.result =
            std::to_string(this->returns_stale_reads && request.kind == request_kind::read && value > 0 ? value - 1 : value);
        this->later.post([done = std::move(done), answer] { done(answer); });
    }

    bool loses_writes = false;
    bool doubles_writes = false;
    bool returns_stale_reads = false;

private:
    std::map<std::string, int> values;
    int writes = 0;
    deferred_calls later;
};

}  // namespace

TEST_CASE("the load reports lost, doubled and stale values, and nothing else", "[load]") {
    const auto plan = make_small_plan();
    faulty_fleet fleet;
    SECTION("a correct fleet") {
        const auto measures = offer_load(plan, fleet);
        CHECK(measures.violations.empty());
        const auto& counters = measures.workspaces.at("counters");
        CHECK(counters.done == counters.offered);
        CHECK(counters.offered >= 300);
        CHECK(measures.databases.at("serial-registry-1").replica_reads > 0);
    }
    SECTION("a lost write") {
        fleet.loses_writes = true;
        CHECK(offer_load(plan, fleet).violations.at(0).find("lost or stale") != std::string::npos);
    }
    SECTION("a doubled write") {
        fleet.doubles_writes = true;
        CHECK(offer_load(plan, fleet).violations.at(0).find("doubled") != std::string::npos);
    }
    SECTION("a stale read") {
        fleet.returns_stale_reads = true;
        CHECK(offer_load(plan, fleet).violations.at(0).find("lost or stale") != std::string::npos);
    }
}

TEST_CASE("a write with an unknown outcome may have run once, and a later read settles it", "[load]") {
    counter_history counter;
    record_add(counter, 1, request_outcome::done, instant{0});
    record_add(counter, 1, request_outcome::unknown, instant{0});
    CHECK_FALSE(check_read(counter, 1));
    CHECK_FALSE(check_read(counter, 2));
    CHECK(check_read(counter, 1));
    CHECK(check_read(counter, 3));
}

TEST_CASE("a read with an age bound may lack only what is younger than the bound", "[load]") {
    counter_history counter;
    record_add(counter, 1, request_outcome::done, instant{1000});
    record_add(counter, 1, request_outcome::done, instant{2000});
    CHECK_FALSE(check_aged_read(counter, 1, instant{2500}, millis{1000}));
    CHECK(check_aged_read(counter, 0, instant{2500}, millis{1000}));
    CHECK(check_aged_read(counter, 1, instant{3500}, millis{1000}));
}

TEST_CASE("a direct load runs transactions and single statements on an instance without violations", "[load]") {
    instance_options options;
    options.service_time = millis{0};
    instance_server instance(options);
    auto plan = make_small_plan();
    plan.targets = {instance.address()};
    plan.transaction_share = 0.5;
    load_direct transport(plan);
    const auto measures = offer_load(plan, transport);
    CHECK(measures.violations.empty());
    CHECK(measures.workspaces.at("counters").unknown == 0);
    CHECK(measures.workspaces.at("counters").done >= 300);
    CHECK_FALSE(instance.model().log.empty());
}
