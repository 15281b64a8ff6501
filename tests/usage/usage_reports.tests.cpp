#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis window_length{5000};
constexpr millis due{10000};

/// A fleet that reports usage, with callers that each run some statements a second.
class usage_fleet {
public:
    usage_fleet() : fleet(make_options()) {
        this->fleet.run_for(millis{8000});
        for (std::size_t i = 0; i < 7; ++i) {
            this->add_caller("host-" + std::to_string(i), i % 3);
        }
    }

    /// Runs the load. The callers send nothing near a window's end, so that each statement's window is certain.
    void run_load(millis span) {
        constexpr millis step{200};
        for (millis done; done < span; done = done + step) {
            const auto into = this->fleet.unix_ms() % window_length.count;
            if (into >= 200 && into <= window_length.count - 400) {
                this->send_all();
            }
            this->fleet.run_for(step);
        }
    }

    /// Runs the load until at most 200 ms after the given time in a window.
    void run_load_to(millis into_window) {
        const auto past = [&] { return (this->fleet.unix_ms() + window_length.count - into_window.count) % window_length.count; };
        while (past() >= 200) {
            this->run_load(millis{200});
        }
    }

    [[nodiscard]] host_id coordinator() { return this->fleet.host(this->any_host).catalog.coordinator->record.host.id; }
    [[nodiscard]] usage_window current() const { return this->fleet.unix_ms() / window_length.count; }
    void drop_callers_of(const host_id& host) {
        std::erase_if(this->callers, [&](const auto& caller) { return this->fleet.caller(caller.first).host == host; });
        if (this->any_host == host) {
            this->any_host = host == "host-0" ? "host-1" : "host-0";
        }
    }

    /// Checks that no window was sent with different counts, that windows and fences never go back, and that each window up to
    /// `last` was sent and has exactly the counts of the statements.
    void check_reports(usage_window last) {
        std::map<usage_window, usage_counts> sent;
        usage_window newest = 0;
        fence_number fence = 0;
        for (const auto& [at, call] : this->fleet.usages) {
            CHECK(call.usage.window >= newest);
            CHECK(call.fence >= fence);
            CHECK(sent.try_emplace(call.usage.window, call.usage.counts).first->second == call.usage.counts);
            newest = call.usage.window;
            fence = call.fence;
        }
        for (const auto& [window, counts] : this->expected) {
            if (window <= last) {
                CAPTURE(window, last);
                CHECK(sent[window] == counts);
            }
        }
        CHECK(newest >= last);
    }

    /// Checks that each window's first report arrived in time.
    void check_in_time() {
        std::set<usage_window> seen;
        for (const auto& [at, call] : this->fleet.usages) {
            if (seen.insert(call.usage.window).second) {
                CHECK(at <= (call.usage.window + 1) * window_length.count + due.count);
            }
        }
    }

    session_fleet fleet;
    std::map<usage_window, usage_counts> expected;
    host_id any_host = "host-0";

private:
    static fleet_options make_options() {
        fleet_options options;
        options.usage.window = window_length;
        options.usage.due = due;
        return options;
    }

    void add_caller(const host_id& host, std::size_t workspace) {
        this->callers.emplace_back(this->fleet.open_session(host, consistency::bounded_staleness, workspace),
                                   "workspace-" + std::to_string(workspace));
    }

    void send_all() {
        for (const auto& [session, workspace] : this->callers) {
            this->fleet.send(session, read_statement("q" + std::to_string(this->next_id++), "a"));
            ++this->expected[this->current()][workspace];
        }
    }

    std::vector<std::pair<session_id, workspace_id>> callers;
    int next_id = 0;
};

}  // namespace

TEST_CASE("each usage window is reported once, in time and with its statements", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{30000});
    usage.check_reports(usage.current() - 2);
    usage.check_in_time();
    CHECK(usage.fleet.usages.size() == std::set<usage_window>([&] {
                                           std::set<usage_window> windows;
                                           for (const auto& received : usage.fleet.usages) {
                                               windows.insert(received.call.usage.window);
                                           }
                                           return windows;
                                       }())
                                           .size());
}

TEST_CASE("a usage report whose answer is lost is repeated unchanged", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{5000});
    const auto before = usage.fleet.usages.size();
    usage.fleet.usage_answers_lost = true;
    usage.run_load(millis{12000});
    CHECK(usage.fleet.usages.size() > before + 2);
    usage.fleet.usage_answers_lost = false;
    usage.run_load(millis{20000});
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("the next holder repeats the window that its predecessor may have sent, with the same counts", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    usage.fleet.usage_answers_lost = true;
    const auto before = usage.fleet.usages.size();
    while (usage.fleet.usages.size() == before) {
        usage.run_load(millis{200});
    }
    const auto window = usage.fleet.usages.back().call.usage.window;
    const auto old = usage.coordinator();
    usage.drop_callers_of(old);
    usage.fleet.kill_host(old);
    // Only the counts that the lost coordinator had run itself are missing.
    const auto lost_window = usage.current();
    usage.fleet.usage_answers_lost = false;
    usage.run_load(millis{20000});
    const auto repeated = std::ranges::find_if(
        usage.fleet.usages, [&](const auto& item) { return item.call.usage.window == window && item.call.holder != old; });
    REQUIRE(repeated != usage.fleet.usages.end());
    for (auto lost = window + 1; lost <= lost_window; ++lost) {
        usage.expected.erase(lost);
    }
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("a holder that is cut off from the store sends nothing more", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    const auto old = usage.coordinator();
    usage.drop_callers_of(old);
    usage.fleet.cut(old, "store");
    for (int i = 0; i < 7; ++i) {
        usage.fleet.cut(old, "host-" + std::to_string(i));
    }
    const auto lost_window = usage.current();
    usage.run_load(millis{20000});
    const auto first_of_new = std::ranges::find_if(usage.fleet.usages, [&](const auto& item) { return item.call.holder != old; });
    REQUIRE(first_of_new != usage.fleet.usages.end());
    CHECK(std::none_of(first_of_new, usage.fleet.usages.end(), [&](const auto& item) { return item.call.holder == old; }));
    usage.expected.erase(lost_window);
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("the statements of a killed host that it had reported count", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    const host_id killed = usage.coordinator() == "host-3" ? "host-4" : "host-3";
    usage.run_load_to(millis{2000});
    // Statements of the killed host's callers run at other hosts too; all had been reported a second ago.
    usage.fleet.run_for(millis{1200});
    usage.drop_callers_of(killed);
    usage.fleet.kill_host(killed);
    usage.run_load(millis{20000});
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("a host that stops reports its last statements", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    const host_id stopped = usage.coordinator() == "host-3" ? "host-4" : "host-3";
    usage.run_load_to(millis{2000});
    usage.drop_callers_of(stopped);
    usage.fleet.stop_host(stopped);
    usage.run_load(millis{20000});
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("a host whose report is late is waited for", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    const auto holder = usage.coordinator();
    const host_id late = holder == "host-3" ? "host-4" : "host-3";
    usage.run_load_to(millis{4600});
    // Without callers the cut has no effect on the statements themselves.
    usage.fleet.cut(late, holder);
    usage.fleet.run_for(millis{2400});
    usage.fleet.heal();
    usage.run_load(millis{20000});
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("clocks that step don't split a usage window", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    const auto holder = usage.coordinator();
    usage.fleet.clock_errors[holder] = millis{-20000};
    usage.fleet.clock_errors[holder == "host-3" ? "host-4" : "host-3"] = millis{7000};
    usage.run_load(millis{12000});
    usage.fleet.clock_errors.clear();
    usage.run_load(millis{15000});
    usage.check_reports(usage.current() - 2);
    usage.check_in_time();
}

TEST_CASE("nothing is reported without its record in the store", "[usage]") {
    usage_fleet usage;
    usage.run_load(millis{10000});
    usage.run_load_to(millis{200});
    const auto before = usage.fleet.usages.size();
    usage.fleet.store_is_down = true;
    // No statements, as hosts stop serving during a long outage.
    usage.fleet.run_for(millis{9000});
    CHECK(usage.fleet.usages.size() <= before + 1);
    usage.fleet.store_is_down = false;
    usage.fleet.run_for(millis{6000});
    usage.run_load(millis{20000});
    usage.check_reports(usage.current() - 2);
}

TEST_CASE("a transaction counts once in the usage of its window", "[usage]") {
    fleet_options options;
    options.usage.window = window_length;
    options.usage.due = due;
    session_fleet fleet(options);
    fleet.run_for(millis{8000});
    const auto session = fleet.open_session("host-0", consistency::primary);
    REQUIRE(fleet.run_until([&] { return fleet.unix_ms() % window_length.count == 500; }, window_length * 2));
    const auto window = fleet.unix_ms() / window_length.count;

    fleet.ask(session, plain_statement("b-1", statement_kind::begin, "BEGIN"));
    fleet.ask(session, write_statement("w-1", "item", "data"));
    fleet.ask(session, read_statement("r-1", "item"));
    fleet.ask(session, plain_statement("c-1", statement_kind::commit, "COMMIT"));
    fleet.ask(session, plain_statement("b-2", statement_kind::begin, "BEGIN"));
    fleet.ask(session, write_statement("w-2", "item", "other"));
    fleet.ask(session, plain_statement("e-2", statement_kind::rollback, "ROLLBACK"));
    fleet.ask(session, read_statement("r-3", "item"));
    REQUIRE(fleet.unix_ms() / window_length.count == window);
    fleet.run_for(window_length + due);

    const auto sent = std::ranges::find(fleet.usages, window, [](const auto& received) { return received.call.usage.window; });
    REQUIRE(sent != fleet.usages.end());
    CHECK(sent->call.usage.counts == usage_counts{{"workspace-0", 3}});
}
