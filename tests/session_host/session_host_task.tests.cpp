#include "camphorstack/session_host/session_host_task.hpp"

#include <catch2/catch.hpp>
#include <memory>

#include "links/run_main_loop.hpp"

using namespace camphorstack;
using namespace camphorstack::tests;

namespace {

constexpr millis grace{4000};

/// Links without callers, but for one that may not have taken its last answer.
class fake_links final : public session_links {
public:
    explicit fake_links(const bool& untaken) : has_untaken(untaken) {}
    void carry_out(const session_host_action&) override {}
    [[nodiscard]] bool is_drained() const override { return !this->has_untaken; }
    [[nodiscard]] bool has_untaken_answers() const override { return this->has_untaken; }

private:
    const bool& has_untaken;
};

}  // namespace

// Guards against a process that ends while a caller still takes its last answer (review/9).
TEST_CASE("a host that stops waits for callers that take their last answers, within its grace period", "[session-host-task]") {
    const suspend_aware_clock time;
    const system_wall_clock wall;
    session_host_settings settings;
    settings.self.id = "host-0";
    settings.stop_grace = grace;
    bool is_untaken = true;
    bool stopped = false;
    session_host_task task(
        make_session_host(settings, random_source(1), time.now()),
        [&](const session_event_sink&, const monitoring_callbacks&) { return std::make_unique<fake_links>(is_untaken); }, time,
        wall, [](const decision_line&) {}, [&] { stopped = true; });
    const auto requested_at = time.now();
    task.request_stop();
    SECTION("the answer is taken in time") {
        run_for(millis{2500});
        CHECK_FALSE(stopped);
        is_untaken = false;
        CHECK(run_until([&] { return stopped; }, millis{1000}));
    }
    SECTION("the answer is not taken") {
        REQUIRE(run_until([&] { return stopped; }, grace));
        CHECK(time.now() - requested_at <= grace);
    }
    SECTION("there is no such answer") {
        is_untaken = false;
        CHECK(run_until([&] { return stopped; }, millis{2500}));
    }
}
