#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "links/raw_client.hpp"
#include "platform/platform_fixture.hpp"

using namespace camphorstack;
using namespace camphorstack::platform_tests;

namespace {

void open_session(raw_client& caller) {
    caller.send("START books first-key\r\n");
    const bool is_open = caller.wait_for("READY I -\r\n");
    INFO("received: " << caller.received);
    REQUIRE(is_open);
}

std::string ask(raw_client& caller, const std::string& query) {
    caller.received.clear();
    caller.send("QUERY " + query + "\r\n");
    REQUIRE(caller.wait_for("\r\nREADY "));
    return caller.received;
}

/// Checks that callers get their own answers, or errors, from an instance that repeats only the rows of its answers.
void check_answers_with_cut_repetitions(answer_repetition repetition) {
    platform_fixture system;
    system.primary.repetition = repetition;
    raw_client caller(system.callers);
    open_session(caller);
    for (int i = 0; i < 4; ++i) {
        const auto number = std::to_string(i);
        CAPTURE(number);
        ask(caller, "w" + number + " WRITE item " + number);
        const auto answer = ask(caller, "r" + number + " READ item");
        const bool is_own = answer.starts_with("ROW " + number + "\r\nDONE proof-r" + number + "\r\n");
        CAPTURE(answer);
        CHECK((is_own || answer.starts_with("ERROR ")));
        const auto other = ask(caller, "o" + number + " READ other");
        const bool is_own_other = other.starts_with("ROW none\r\nDONE proof-o" + number + "\r\n");
        CAPTURE(other);
        CHECK((is_own_other || other.starts_with("ERROR ")));
    }
}

}  // namespace

TEST_CASE("an answer that an instance sends twice is not taken for another statement's answer", "[platform][repeated-answers]") {
    platform_fixture system;
    const auto repetition = GENERATE(answer_repetition::at_once, answer_repetition::before_next, answer_repetition::after_next);
    CAPTURE(static_cast<int>(repetition));
    system.primary.repetition = repetition;
    raw_client first(system.callers);
    raw_client second(system.callers);
    open_session(first);
    open_session(second);
    for (int i = 0; i < 20; ++i) {
        const auto number = std::to_string(i);
        CAPTURE(number);
        CHECK(ask(first, "w" + number + " WRITE item " + number).starts_with("DONE proof-w" + number + "\r\n"));
        CHECK(ask(second, "r" + number + " READ other").starts_with("ROW none\r\nDONE proof-r" + number + "\r\n"));
        CHECK(ask(first, "s" + number + " READ item").starts_with("ROW " + number + "\r\nDONE proof-s" + number + "\r\n"));
    }
}

TEST_CASE("repeated answers to session values and BEGIN and ROLLBACK change nothing for transactions",
          "[platform][repeated-answers]") {
    platform_fixture system;
    system.primary.repetition =
        GENERATE(answer_repetition::at_once, answer_repetition::before_next, answer_repetition::after_next);
    CAPTURE(static_cast<int>(system.primary.repetition));
    raw_client caller(system.callers);
    open_session(caller);
    for (int i = 0; i < 10; ++i) {
        const auto number = std::to_string(i);
        CAPTURE(number);
        REQUIRE(ask(caller, "v" + number + " SET zone " + number).starts_with("DONE -\r\n"));
        REQUIRE(ask(caller, "p" + number + " PREPARE s WRITE shape" + number).starts_with("DONE -\r\n"));
        REQUIRE(ask(caller, "b" + number + " BEGIN").starts_with("DONE -\r\nREADY T"));
        CHECK(ask(caller, "e" + number + " EXECUTE s item " + number).starts_with("DONE proof-e" + number + "\r\nREADY T"));
        CHECK(ask(caller, "r" + number + " READ other").starts_with("ROW none\r\nDONE proof-r" + number + "\r\nREADY T"));
        if (i % 3 == 2) {
            CHECK(ask(caller, "x" + number + " ROLLBACK").starts_with("DONE -\r\nREADY I"));
        } else {
            CHECK(ask(caller, "c" + number + " COMMIT").starts_with("DONE proof-c" + number + "\r\nREADY I"));
        }
        REQUIRE_FALSE(system.model.runs.empty());
        CHECK(system.model.runs.back().values == std::map<std::string, std::string>{{"zone", number}});
    }
    CHECK(ask(caller, "last READ item").starts_with("ROW 9\r\nDONE proof-last\r\n"));
}

TEST_CASE("rows of a repeated answer that is cut off before the next statement do not join its answer",
          "[platform][repeated-answers]") {
    check_answers_with_cut_repetitions(answer_repetition::cut_at_once);
}

TEST_CASE("rows of a repeated answer that is cut off after the next statement do not join its answer",
          "[platform][repeated-answers]") {
    check_answers_with_cut_repetitions(answer_repetition::cut_before_next);
}

TEST_CASE("a write does not run outside its transaction when BEGIN is refused after a repeated confirmation",
          "[platform][repeated-answers]") {
    platform_fixture system;
    system.model.records_answers = true;
    raw_client caller(system.callers);
    open_session(caller);
    const auto code = GENERATE(result_code::busy, result_code::read_only);
    bool refuses_begin = false;
    // The confirmation of the first BEGIN is repeated when the second one has arrived, just before the refusal of that.
    system.model.refuse = [&](const endpoint_id&, const endpoint_statement& requested) -> std::optional<result_code> {
        const bool begins = requested.command == endpoint_command::begin;
        system.primary.repetition = begins ? answer_repetition::later : answer_repetition::none;
        if (!begins || !std::exchange(refuses_begin, false)) {
            return std::nullopt;
        }
        system.primary.repeat_late();
        return code;
    };
    REQUIRE(ask(caller, "b1 BEGIN").starts_with("DONE -\r\nREADY T"));
    REQUIRE(ask(caller, "w1 WRITE item 1").starts_with("DONE proof-w1\r\nREADY T"));
    REQUIRE(ask(caller, "c1 COMMIT").starts_with("DONE proof-c1\r\nREADY I"));
    refuses_begin = true;
    static_cast<void>(ask(caller, "b2 BEGIN"));
    static_cast<void>(ask(caller, "w2 WRITE item 2"));
    static_cast<void>(ask(caller, "x2 ROLLBACK"));
    CHECK(std::ranges::none_of(system.model.answers, [](const session_tests::observed_answer& observed) {
        return observed.requested.id == "w2" && observed.transaction == 0;
    }));
    CHECK_FALSE(session_tests::holds_write(system.model.primary(), "w2"));
}
