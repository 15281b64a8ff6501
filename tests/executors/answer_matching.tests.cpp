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
    const sent_statement first{"q1", "READ x", true};
    const sent_statement second{"q2", "READ x", true};
    CHECK(match_answer(proven("p1"), awaited_answer::statement, first, false, delivered) == answer_match::awaited);
    delivered.add("p1", first);
    CHECK(match_answer(proven("p1"), awaited_answer::statement, second, false, delivered) == answer_match::repeated);
    CHECK(match_answer(proven("p2"), awaited_answer::statement, second, false, delivered) == answer_match::awaited);
    for (const auto awaited :
         {awaited_answer::none, awaited_answer::setup, awaited_answer::begin, awaited_answer::rollback, awaited_answer::status}) {
        CAPTURE(to_string(awaited));
        CHECK(match_answer(proven("p1"), awaited, {}, false, delivered) == answer_match::repeated);
        CHECK(match_answer(proven("p3"), awaited, {}, false, delivered) == answer_match::unexpected);
    }
}

TEST_CASE("a read that is sent twice with the same id and text gets an answer both times", "[answer-matching]") {
    delivered_proofs delivered;
    delivered.add("p1", {"q1", "READ x", true});
    delivered.add("p2", {"q1", "COMMIT", false});
    const auto matches = [&](const std::string& proof, const sent_statement& statement) {
        return match_answer(proven(proof), awaited_answer::statement, statement, false, delivered) == answer_match::awaited;
    };
    CHECK(matches("p1", {"q1", "READ x", true}));
    CHECK_FALSE(matches("p1", {"q1", "READ y", true}));
    CHECK_FALSE(matches("p1", {"q1", "READ x", false}));
    CHECK_FALSE(matches("p2", {"q1", "COMMIT", false}));
}

TEST_CASE("a reply that began before the statement was sent is not its answer", "[answer-matching]") {
    delivered_proofs delivered;
    const sent_statement statement{"q1", "READ x", true};
    auto early = proven("p1");
    early.began_early = true;
    CHECK(match_answer(early, awaited_answer::statement, statement, false, delivered) == answer_match::unexpected);
    delivered.add("p1", {"q0", "READ x", true});
    CHECK(match_answer(early, awaited_answer::statement, statement, false, delivered) == answer_match::repeated);
    auto confirmed = confirmation(session_state::idle);
    confirmed.began_early = true;
    CHECK(match_answer(confirmed, awaited_answer::setup, {}, false, delivered) == answer_match::repeated);
    endpoint_reply refused;
    refused.code = result_code::busy;
    refused.began_early = true;
    CHECK(match_answer(refused, awaited_answer::statement, statement, false, delivered) == answer_match::unexpected);
}

TEST_CASE("the newest proofs of a connection are remembered", "[answer-matching]") {
    delivered_proofs delivered;
    const sent_statement next{"next", "READ x", true};
    for (std::size_t i = 0; i < delivered_proofs::limit + 1; ++i) {
        delivered.add("p" + std::to_string(i), {"q" + std::to_string(i), "READ x", true});
    }
    CHECK_FALSE(delivered.belongs_to_other("p0", next));
    CHECK(delivered.belongs_to_other("p1", next));
    CHECK(delivered.belongs_to_other("p" + std::to_string(delivered_proofs::limit), next));
}

TEST_CASE("a confirmation without a proof answers only a statement of the host that leads to its state", "[answer-matching]") {
    const delivered_proofs delivered;
    const auto idle = confirmation(session_state::idle);
    const auto open = confirmation(session_state::in_transaction);
    auto status = idle;
    status.status = endpoint_self_report{};
    const auto matches = [&](const endpoint_reply& reply, awaited_answer awaited, bool in_transaction) {
        return match_answer(reply, awaited, {}, in_transaction, delivered) == answer_match::awaited;
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

TEST_CASE("rows that begin with all rows of the last answer may hold a part of its repetition", "[answer-matching]") {
    const auto last = hash_rows({"a", "b"});
    CHECK(may_continue(last, hash_rows({"a", "b", "c"})));
    CHECK_FALSE(may_continue(last, hash_rows({"a", "b"})));
    CHECK_FALSE(may_continue(last, hash_rows({"a", "c", "b"})));
    CHECK_FALSE(may_continue({}, hash_rows({"a"})));
}
