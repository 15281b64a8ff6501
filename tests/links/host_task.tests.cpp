#include "camphorstack/hosts/host_task.hpp"

#include <catch2/catch.hpp>
#include <vector>

#include "links/run_main_loop.hpp"

using namespace camphorstack;
using camphorstack::tests::run_until;

namespace {

/// What the task asked of its links.
struct link_log {
    std::vector<host_action> actions;
    bool left_balancer = false;
    bool drained = true;
    event_sink sink;
};

/// Answers every platform call from inside `carry_out`, as no real link may.
class recording_links final : public host_links {
public:
    explicit recording_links(link_log& target) : log(target) {}
    void carry_out(const host_action& action) override {
        this->log.actions.push_back(action);
        if (std::holds_alternative<platform_call>(action)) {
            this->log.sink(platform_answer{});
        }
    }
    void leave_balancer() override { this->log.left_balancer = true; }
    [[nodiscard]] bool is_drained() const override { return this->log.drained; }

private:
    link_log& log;
};

host_links_factory recording_factory(link_log& log) {
    return [&log](event_sink sink, const std::function<host_report()>&) {
        log.sink = std::move(sink);
        return std::make_unique<recording_links>(log);
    };
}

}  // namespace

TEST_CASE("events that arrive during a step wait until it has ended", "[host-task]") {
    // Guards against a second step on a state that the first one is still changing.
    link_log log;
    const monotonic_clock time;
    std::vector<std::size_t> order;
    bool inside = false;
    const auto step = [&](const host_event& event, instant) -> host_actions {
        CHECK_FALSE(inside);
        inside = true;
        order.push_back(event.index());
        inside = false;
        if (std::holds_alternative<peer_connected>(event)) {
            return {platform_call{}, close_connection{7}};
        }
        return {};
    };
    host_task task({step, {}}, recording_factory(log), time, [] {});
    task.on_event(peer_connected{"b"});
    REQUIRE(order.size() == 2);
    CHECK(order.back() == host_event(platform_answer{}).index());
    CHECK(log.actions == std::vector<host_action>{platform_call{}, close_connection{7}});
}

TEST_CASE("the timer feeds ticks about every 5 ms", "[host-task]") {
    link_log log;
    const monotonic_clock time;
    std::size_t ticks = 0;
    const auto step = [&ticks](const host_event& event, instant) -> host_actions {
        ticks += std::holds_alternative<tick>(event) ? 1 : 0;
        return {};
    };
    const host_task task({step, {}}, recording_factory(log), time, [] {});
    CHECK(run_until([&] { return ticks >= 20; }));
}

TEST_CASE("a stop leaves the balancer first and ends only when every answer is written", "[host-task][graceful-shutdown]") {
    link_log log;
    log.drained = false;
    const monotonic_clock time;
    int stop_events = 0;
    int stops = 0;
    const auto step = [&](const host_event& event, instant) -> host_actions {
        if (!std::holds_alternative<stop_requested>(event)) {
            return {};
        }
        ++stop_events;
        CHECK(log.left_balancer);
        return {host_stopped{}, host_stopped{}};
    };
    host_task task({step, {}}, recording_factory(log), time, [&stops] { ++stops; });
    task.request_stop();
    task.request_stop();
    CHECK_FALSE(run_until([&] { return stops > 0; }, millis{100}));
    log.drained = true;
    CHECK(run_until([&] { return stops > 0; }));
    CHECK_FALSE(run_until([&] { return stops > 1; }, millis{50}));
    CHECK(stop_events == 1);
}
