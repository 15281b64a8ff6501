#include <catch2/catch.hpp>
#include <set>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};

/// A caller whose statements follow each other, and what it expects to read.
struct writing_caller {
    session_id session = 0;
    std::string item;
    int sent = 0;          ///< Last value sent.
    int acknowledged = 0;  ///< Last value whose write or commit succeeded.
};

bool is_promise(result_code code) {
    return code == result_code::busy || code == result_code::aborted || code == result_code::lagging ||
           code == result_code::read_only || code == result_code::too_many || code == result_code::misrouted;
}

std::size_t runs_of(session_fleet& fleet, const std::string& statement_id) {
    std::size_t count = 0;
    for (const auto& run : fleet.database(0).runs) {
        count += run.statement_id == statement_id ? 1 : 0;
    }
    return count;
}

/// Writes the caller's next value, and checks that the answer tells the truth about this write.
void write_next(session_fleet& fleet, writing_caller& caller) {
    const auto value = std::to_string(++caller.sent);
    const auto id = "w-" + caller.item + "-" + value;
    const auto answer = fleet.ask(caller.session, write_statement(id, caller.item, value));
    CAPTURE(id, to_string(answer.code));
    if (answer.code == result_code::none) {
        CHECK(answer.proof == "proof-" + id);
        CHECK(runs_of(fleet, id) == 1);
        caller.acknowledged = caller.sent;
    } else if (is_promise(answer.code)) {
        fleet.run_for(millis{50});
        CHECK(runs_of(fleet, id) == 0);
    }
}

void read_back(session_fleet& fleet, writing_caller& caller) {
    const auto id = "r-" + caller.item + "-" + std::to_string(fleet.now().since_start);
    const auto answer = fleet.ask(caller.session, read_statement(id, caller.item));
    CAPTURE(id, to_string(answer.code));
    if (answer.code != result_code::none) {
        return;
    }
    CHECK(answer.proof == "proof-" + id);
    REQUIRE(answer.rows.size() == 1);
    const int value = answer.rows.front() == "none" ? 0 : std::stoi(answer.rows.front());
    CHECK(value >= caller.acknowledged);
    CHECK(value <= caller.sent);
}

/// Runs a transaction of a read and a write. Returns false if the session is not idle afterwards.
bool run_transaction(session_fleet& fleet, writing_caller& caller, bool commits) {
    const auto value = std::to_string(++caller.sent);
    const auto id = "t-" + caller.item + "-" + value;
    fleet.ask(caller.session, plain_statement(id + "b", statement_kind::begin, "BEGIN"));
    const auto read = fleet.ask(caller.session, read_statement(id + "r", caller.item));
    const auto written = fleet.ask(caller.session, write_statement(id + "w", caller.item, value));
    const bool is_whole = read.code == result_code::none && written.code == result_code::none;
    CAPTURE(id, to_string(read.code), to_string(written.code));
    if (read.code == result_code::none) {
        CHECK(read.proof == "proof-" + id + "r");
    }
    if (written.code == result_code::none) {
        CHECK(written.proof == "proof-" + id + "w");
    }
    const bool ends_with_commit = is_whole && commits;
    const auto ended =
        fleet.ask(caller.session, ends_with_commit ? plain_statement(id + "c", statement_kind::commit, "COMMIT")
                                                   : plain_statement(id + "c", statement_kind::rollback, "ROLLBACK"));
    const auto& primary = fleet.database(0).primary();
    if (ends_with_commit && ended.code == result_code::none) {
        CHECK(ended.proof == "proof-" + id + "c");
        CHECK(holds_write(primary, id + "w"));
        caller.acknowledged = caller.sent;
    } else if (!ends_with_commit || is_promise(ended.code)) {
        CHECK_FALSE(holds_write(primary, id + "w"));
    }
    return ended.state == session_state::idle;
}

}  // namespace

TEST_CASE("callers get their own answers while instances repeat answers and refuse statements",
          "[session-fleet][repeated-answers]") {
    const auto seed = GENERATE(range(1, 13));
    CAPTURE(seed);
    fleet_options options;
    options.hosts = {"amman-a", "amman-a", "irbid-a"};
    options.databases = 1;
    options.workspaces = 1;
    options.seed = static_cast<std::uint64_t>(seed);
    session_fleet fleet(options);
    fleet.run_for(start_time);
    std::vector<writing_caller> callers;
    for (int i = 0; i < 6; ++i) {
        const auto kind = i % 2 == 0 ? consistency::primary : consistency::read_your_writes;
        callers.push_back({fleet.open_session("host-" + std::to_string(i % 3), kind), "item" + std::to_string(i), 0, 0});
    }
    fleet.repeated_answers_percent = 40;
    fleet.refused_statements_percent = seed % 3 == 0 ? 20 : 0;
    for (int round = 0; round < 25; ++round) {
        for (auto& caller : callers) {
            write_next(fleet, caller);
            read_back(fleet, caller);
            REQUIRE(run_transaction(fleet, caller, round % 4 != 3));
            read_back(fleet, caller);
        }
    }
    CHECK(fleet.host("host-0").stray_answers[answer_match::repeated] +
              fleet.host("host-1").stray_answers[answer_match::repeated] +
              fleet.host("host-2").stray_answers[answer_match::repeated] >
          0);
    fleet.repeated_answers_percent = 0;
    fleet.refused_statements_percent = 0;
    fleet.run_for(millis{1000});
    for (auto& caller : callers) {
        const auto acknowledged = caller.acknowledged;
        write_next(fleet, caller);
        CHECK(caller.acknowledged > acknowledged);
    }
}
