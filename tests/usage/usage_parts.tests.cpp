#include <catch2/catch.hpp>

#include "camphorstack/support/errors.hpp"
#include "camphorstack/usage/usage_counter.hpp"
#include "camphorstack/usage/usage_holder.hpp"
#include "camphorstack/usage/usage_record.hpp"

using namespace camphorstack;

namespace {

const usage_settings settings{millis{5000}, millis{10000}};
constexpr std::int64_t start_ms = 1'700'000'000'000;
constexpr usage_window first_window = start_ms / 5000;

usage_report report_of(const std::string& nonce, std::int64_t agreed_ms, std::vector<window_counts> windows) {
    return {nonce, instant{1}, agreed_ms, agreed_ms, std::move(windows)};
}

/// A holder for which the store's record names the window before `first_window`.
usage_holder make_holder() {
    usage_holder holder;
    set_holder(holder, true, instant{0});
    catalog_answer found;
    found.status = catalog_status::done;
    found.items.push_back({"sent", 7, fleet_item{to_text(window_counts{first_window - 1, {{"ws", 4}}})}, {}});
    receive_stored_record(holder, settings, found, start_ms, instant{0});
    return holder;
}

}  // namespace

TEST_CASE("the fleet's time is the median of the hosts' clocks and survives steps", "[usage][usage-clock]") {
    usage_clock clock;
    read_wall_clock(clock, start_ms + 90'000, instant{0});
    CHECK_FALSE(fleet_time(clock, instant{0}));
    hear_clock(clock, "b", start_ms + 10, 0, instant{0});
    hear_clock(clock, "c", start_ms + 20, 0, instant{0});
    settle_clock(clock, instant{4000});
    CHECK(fleet_time(clock, instant{4000}) == start_ms + 4020);
    SECTION("a step that ends") {
        for (std::int64_t t = 5000; t < 30000; t += 1000) {
            read_wall_clock(clock, start_ms + t + 8000, instant{t});
            hear_clock(clock, "b", start_ms + t + 8000, start_ms, instant{t});
            hear_clock(clock, "c", start_ms + t, start_ms, instant{t});
            settle_clock(clock, instant{t});
        }
        CHECK(fleet_time(clock, instant{30000}) == start_ms + 30020);
    }
    SECTION("a host that knows the time is believed by one that doesn't") {
        usage_clock restarted;
        read_wall_clock(restarted, 5, instant{100});
        hear_clock(restarted, "b", 5, start_ms, instant{100});
        CHECK(fleet_time(restarted, instant{200}) == start_ms + 100);
    }
}

TEST_CASE("a counter sends what is not confirmed and again to a new coordinator", "[usage][usage-counter]") {
    usage_clock clock;
    usage_counter counter;
    read_wall_clock(clock, start_ms, instant{0});
    count_operation(counter, settings, clock, {"ws", instant{10}});
    CHECK(counter.windows.empty());
    adopt_time(clock, start_ms, instant{0});
    note_coordinator(counter, 3);
    auto report = due_report(counter, settings, clock, false, instant{20});
    REQUIRE(report);
    CHECK(report->windows == std::vector<window_counts>{{first_window, {{"ws", 1}}}});
    receive_receipt(counter, clock, {3, instant{20}, first_window - 1, 0}, instant{30});
    CHECK_FALSE(due_report(counter, settings, clock, true, instant{40}));
    note_coordinator(counter, 4);
    report = due_report(counter, settings, clock, true, instant{50});
    REQUIRE(report);
    CHECK(report->windows == std::vector<window_counts>{{first_window, {{"ws", 1}}}});
    SECTION("statements of settled windows are counted as lost") {
        receive_receipt(counter, clock, {4, instant{50}, first_window, 0}, instant{60});
        count_operation(counter, settings, clock, {"ws", instant{70}});
        CHECK(counter.uncounted == 1);
        CHECK(counter.windows.empty());
    }
}

TEST_CASE("a holder sends the stored record first and adds up processes once", "[usage][usage-holder]") {
    auto holder = make_holder();
    CHECK(holder.step == holder_step::confirming);
    CHECK(holder.record == window_counts{first_window - 1, {{"ws", 4}}});
    SECTION("windows") {
        CHECK(receive_usage_status(holder, settings, usage_status::accepted, start_ms, instant{5}));
        const auto repeated = report_of("a1", start_ms, {{first_window - 1, {{"ws", 9}}}, {first_window, {{"ws", 2}}}});
        take_report(holder, settings, "a", repeated);
        take_report(holder, settings, "a", repeated);
        take_report(holder, settings, "a", report_of("a2", start_ms + 5000, {{first_window, {{"ws", 1}, {"other", 5}}}}));
        close_due_window(holder, settings, {"a"}, start_ms + 6900, instant{6900});
        CHECK(holder.step == holder_step::collecting);
        close_due_window(holder, settings, {"a", "b"}, start_ms + 8900, instant{8900});
        CHECK(holder.step == holder_step::collecting);
        SECTION("all have reported") {
            close_due_window(holder, settings, {"a"}, start_ms + 7000, instant{7000});
        }
        SECTION("one is missing") {
            close_due_window(holder, settings, {"a", "b"}, start_ms + 9000, instant{9000});
        }
        CHECK(holder.step == holder_step::writing);
        CHECK(holder.record == window_counts{first_window, {{"other", 5}, {"ws", 3}}});
        CHECK(holder.revision == 7);
    }
    SECTION("failures repeat the same record, later and later") {
        CHECK_FALSE(receive_usage_status(holder, settings, usage_status::no_answer, start_ms, instant{5}));
        CHECK(holder.not_before == instant{305});
        CHECK_FALSE(receive_usage_status(holder, settings, usage_status::not_done, start_ms, instant{400}));
        CHECK(holder.not_before == instant{1000});
        CHECK(holder.step == holder_step::confirming);
        CHECK(holder.record == window_counts{first_window - 1, {{"ws", 4}}});
    }
    SECTION("another holder's record wins over a write of this one") {
        holder.step = holder_step::writing;
        catalog_answer lost;
        lost.status = catalog_status::conflict;
        receive_stored_record(holder, settings, lost, start_ms, instant{5});
        CHECK(holder.step == holder_step::reading);
    }
    SECTION("an unreadable record") {
        CHECK_THROWS_AS(parse_usage_record("{\"window\":-1,\"counts\":[]}"), format_error);
        CHECK_THROWS_AS(parse_usage_record("{\"window\":1,\"counts\":[{\"count\":1}]}"), format_error);
        CHECK_THROWS_AS(parse_usage_record(""), format_error);
    }
}
