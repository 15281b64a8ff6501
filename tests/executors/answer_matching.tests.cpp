#include "camphorstack/executors/answer_matching.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

endpoint_reply confirmation(session_state state) {
    endpoint_reply reply;
    reply.state = state;
    return reply;
}

endpoint_reply proven(const std::string& proof) {
    endpoint_reply reply;
    reply.proof = proof;
    return reply;
}

}  // namespace

TEST_CASE("a proof that was delivered for another statement marks a repeated answer", "[answer-matching]") {
    delivered_proofs delivered;
    CHECK(match_answer(proven("p1"), awaited_answer::statement, "q1", false, delivered) == answer_match::awaited);
    delivered.add("p1", "q1");
    CHECK(match_answer(proven("p1"), awaited_answer::statement, "q2", false, delivered) == answer_match::repeated);
    CHECK(match_answer(proven("p2"), awaited_answer::statement, "q2", false, delivered) == answer_match::awaited);
    // A caller that gives two statements the same id gets an answer to both.
    CHECK(match_answer(proven("p1"), awaited_answer::statement, "q1", false, delivered) == answer_match::awaited);
    for (const auto awaited :
         {awaited_answer::none, awaited_answer::setup, awaited_answer::begin, awaited_answer::rollback, awaited_answer::status}) {
        CAPTURE(to_string(awaited));
        CHECK(match_answer(proven("p1"), awaited, "", false, delivered) == answer_match::repeated);
        CHECK(match_answer(proven("p3"), awaited, "", false, delivered) == answer_match::unexpected);
    }
}

TEST_CASE("the newest proofs of a connection are remembered", "[answer-matching]") {
    delivered_proofs delivered;
    for (std::size_t i = 0; i < delivered_proofs::limit + 1; ++i) {
        delivered.add("p" + std::to_string(i), "q" + std::to_string(i));
    }
    CHECK_FALSE(delivered.belongs_to_other("p0", "next"));
    CHECK(delivered.belongs_to_other("p1", "next"));
    CHECK(delivered.belongs_to_other("p" + std::to_string(delivered_proofs::limit), "next"));
}

TEST_CASE("a confirmation without a proof answers only a statement of the host that leads to its state", "[answer-matching]") {
    const delivered_proofs delivered;
    const auto idle = confirmation(session_state::idle);
    const auto open = confirmation(session_state::in_transaction);
    auto status = idle;
    status.status = endpoint_self_report{};
    const auto matches = [&](const endpoint_reply& reply, awaited_answer awaited, bool in_transaction) {
        return match_answer(reply, awaited, "", in_transaction, delivered) == answer_match::awaited;
    };
    CHECK(matches(idle, awaited_answer::setup, false));
    CHECK_FALSE(matches(open, awaited_answer::setup, false));
    CHECK(matches(open, awaited_answer::setup, true));
    CHECK_FALSE(matches(idle, awaited_answer::setup, true));
    CHECK(matches(open, awaited_answer::begin, false));
    CHECK_FALSE(matches(idle, awaited_answer::begin, false));
    CHECK(matches(idle, awaited_answer::rollback, false));
    CHECK_FALSE(matches(open, awaited_answer::rollback, false));
    CHECK(matches(status, awaited_answer::status, false));
    CHECK_FALSE(matches(idle, awaited_answer::status, false));
    for (const auto& reply : {idle, open, status}) {
        CHECK_FALSE(matches(reply, awaited_answer::statement, false));
        CHECK_FALSE(matches(reply, awaited_answer::statement, true));
        CHECK_FALSE(matches(reply, awaited_answer::none, false));
    }
    for (const auto awaited : {awaited_answer::setup, awaited_answer::begin, awaited_answer::rollback}) {
        CHECK_FALSE(matches(status, awaited, false));
    }
}

TEST_CASE("a status counts as outdated if its connection has delivered one and it lacks a position of the endpoint",
          "[answer-matching]") {
    endpoint_reply status;
    status.status = endpoint_self_report{};
    status.position = log_position{3, 10};
    CHECK_FALSE(may_be_outdated(status, false, std::nullopt));
    CHECK_FALSE(may_be_outdated(status, false, log_position{3, 11}));
    CHECK_FALSE(may_be_outdated(status, true, log_position{3, 10}));
    CHECK_FALSE(may_be_outdated(status, true, log_position{2, 99}));
    CHECK(may_be_outdated(status, true, log_position{3, 11}));
    CHECK(may_be_outdated(status, true, log_position{4, 1}));
    CHECK(may_be_outdated(status, true, std::nullopt));
    status.position.reset();
    CHECK(may_be_outdated(status, true, log_position{3, 10}));
}
