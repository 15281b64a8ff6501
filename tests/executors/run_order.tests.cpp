#include "camphorstack/executors/run_order.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

constexpr instant start{1000};

submitted_run make(const std::string& workspace, const std::string& id, millis target = millis{100}, int priority = 0) {
    submitted_run run;
    run.arrived = start;
    run.request.workspace = workspace;
    run.request.statement_id = id;
    run.request.start_target = target;
    run.request.queue_timeout = millis{400};
    run.request.priority = priority;
    return run;
}

std::string take_all(run_queue& queue) {
    std::string order;
    const auto accept = [&order](const submitted_run& run) {
        order += run.request.statement_id + " ";
        return true;
    };
    while (take_run(queue, run_rank::holds_connection, run_rank::late, accept)) {
    }
    return order;
}

}  // namespace

TEST_CASE("runs of open transactions go first, then runs that can meet their targets, by priority", "[run-order]") {
    run_queue queue;
    add_run(queue, make("a", "missed", millis{0} - millis{1}), service_times{}, start + millis{400});
    add_run(queue, make("a", "second", millis{100}, 1), service_times{}, start);
    add_run(queue, make("a", "first", millis{100}, 0), service_times{}, start);
    auto open = make("a", "open", millis{100}, 5);
    open.request.transaction = 7;
    add_run(queue, open, service_times{}, start);
    CHECK(count_runs(queue, run_rank::late) == 1);
    CHECK(take_all(queue) == "open first second missed ");
    CHECK(queue.turns.empty());
}

TEST_CASE("a run that misses its target yields and is still served", "[run-order]") {
    run_queue queue;
    add_run(queue, make("a", "a1", millis{50}), service_times{}, start);
    add_run(queue, make("b", "b1", millis{100}, 3), service_times{}, start);
    CHECK(mark_late_runs(queue, start + millis{49}) == 0);
    CHECK(mark_late_runs(queue, start + millis{50}) == 1);
    CHECK(take_all(queue) == "b1 a1 ");
}

TEST_CASE("workspaces of one priority take turns, each in the order of the time left", "[run-order][fair-share]") {
    run_queue queue;
    for (const auto* id : {"a1", "a2", "a3"}) {
        add_run(queue, make("a", id), service_times{}, start);
    }
    add_run(queue, make("b", "b-later", millis{90}), service_times{}, start);
    add_run(queue, make("b", "b-soon", millis{20}), service_times{}, start);
    CHECK(take_all(queue) == "a1 b-soon a2 b-later a3 ");
}

TEST_CASE("the work ahead of a run follows the order of turns and the time of each kind", "[run-order]") {
    run_queue queue;
    service_times times{10, 10, 3, {}};
    for (int i = 0; i < 20; ++i) {
        add_run(queue, make("hot", "h"), service_times{}, start);
    }
    CHECK(work_ahead_ms(queue, make("hot", "next"), times, 4, start) == Approx(200));
    CHECK(work_ahead_ms(queue, make("other", "next"), times, 4, start) == Approx(10));
    CHECK(work_ahead_ms(queue, make("other", "urgent", millis{100}, -1), times, 4, start) == Approx(0));
    auto write = make("hot", "w", millis{100}, -1);
    write.request.kind = run_kind::write;
    add_run(queue, write, times, start);
    CHECK(work_ahead_ms(queue, make("other", "next"), times, 4, start) == Approx(13).epsilon(0.01));
    CHECK(queued_work_ms(queue, times) == Approx(203));
    CHECK(expected_service_ms(times, run_kind::commit) == Approx(10));
    CHECK(withdraw_runs(queue, [](const auto& run) { return run.request.kind == run_kind::read; }).size() == 20);
    CHECK(queued_work_ms(queue, times) == Approx(3));
}
