#include "soak/guarantee_checker.hpp"

#include <catch2/catch.hpp>

#include "soak/odd_text.hpp"

using namespace camphorstack;
using namespace camphorstack::soak;

namespace {

const received_answer refused{result_code::busy, "", {}};
const received_answer confirmed{result_code::none, "-", {}};

/// A checker on a database of two instances. `run` adds a statement to the record of what the instances ran.
struct observed_database {
    session_tests::database_model model{"db", {"amman-a", "irbid-a"}};
    guarantee_checker checker{model};

    void send(sent_kind kind, const std::string& id, const std::string& text, const std::string& transaction = "") {
        this->checker.record_sent({kind, id, text, std::nullopt, "", "w", {{"zone", "1"}}, transaction});
    }

    /// What an instance observes if it runs the statement as it was sent.
    static session_tests::observed_answer as_sent(const std::string& id, const std::string& text, std::uint64_t transaction = 0) {
        session_tests::observed_answer observed;
        observed.endpoint = "db-0";
        observed.requested.id = id;
        observed.requested.text = text;
        observed.workspace = "w";
        observed.values = {{"zone", "1"}};
        observed.transaction = transaction;
        observed.reply.proof = "proof-" + id;
        return observed;
    }

    void run(const session_tests::observed_answer& observed) {
        this->model.answers.push_back(observed);
        this->checker.observe();
    }

    void run(const std::string& id, const std::string& text, std::uint64_t transaction = 0) {
        this->run(as_sent(id, text, transaction));
    }

    void answer(const std::string& id) { this->checker.record_answer(id, {result_code::none, "proof-" + id, {}}); }
};

}  // namespace

TEST_CASE("the soak's checker accepts permitted outcomes", "[soak]") {
    observed_database observed;
    observed.send(sent_kind::write, "w1", "WRITE i 1 \n");
    observed.run("w1", "WRITE i 1 \n");
    observed.answer("w1");
    observed.send(sent_kind::write, "w2", "WRITE i 2");
    observed.checker.record_answer("w2", refused);
    observed.send(sent_kind::write, "w3", "WRITE i 3");
    observed.run("w3", "WRITE i 3");
    observed.checker.record_answer("w3", {result_code::in_doubt, "", {}});
    observed.send(sent_kind::read, "r1", "READ i");
    auto read = observed_database::as_sent("r1", "READ i");
    read.reply.rows = {"3"};
    observed.run(read);
    observed.run(read);
    observed.checker.record_answer("r1", {result_code::none, "proof-r1", {"3"}});
    observed.checker.record_read_value("r1", 3, 1, 3);
    auto own = observed_database::as_sent("", "STATUS");
    own.requested.command = endpoint_command::status;
    observed.run(own);
    CHECK(observed.checker.acknowledged() == 1);
    CHECK(observed.checker.violations().empty());
}

TEST_CASE("the soak's checker accepts transactions that are committed or rolled back or refused", "[soak]") {
    observed_database observed;
    for (const std::uint64_t number : {1U, 2U, 3U}) {
        const auto suffix = std::to_string(number);
        observed.send(sent_kind::begin, "b" + suffix, "BEGIN", "b" + suffix);
        observed.checker.record_answer("b" + suffix, confirmed);
        observed.send(sent_kind::write, "w" + suffix, "WRITE i 1", "b" + suffix);
        observed.run("w" + suffix, "WRITE i 1", number);
        observed.answer("w" + suffix);
    }
    observed.send(sent_kind::commit, "c1", "COMMIT", "b1");
    observed.run("c1", "COMMIT", 1);
    observed.answer("c1");
    observed.send(sent_kind::rollback, "x2", "ROLLBACK", "b2");
    observed.checker.record_answer("x2", confirmed);
    observed.send(sent_kind::commit, "c3", "COMMIT", "b3");
    observed.checker.record_answer("c3", refused);
    CHECK(observed.checker.violations().empty());
    CHECK(observed.checker.acknowledged() == 1);
}

TEST_CASE("the soak's checker reports each violated guarantee", "[soak]") {
    observed_database observed;
    observed.send(sent_kind::write, "w1", "WRITE i 1 \nx");
    observed.send(sent_kind::read, "r1", "READ i");
    SECTION("a write that ran twice") {
        observed.run("w1", "WRITE i 1 \nx");
        observed.run("w1", "WRITE i 1 \nx");
    }
    SECTION("a refused write that had run") {
        observed.run("w1", "WRITE i 1 \nx");
        observed.checker.record_answer("w1", refused);
    }
    SECTION("a refused write that runs later") {
        observed.checker.record_answer("w1", refused);
        observed.run("w1", "WRITE i 1 \nx");
    }
    SECTION("an acknowledged write that never ran") {
        observed.answer("w1");
    }
    SECTION("an acknowledged write at a former primary") {
        REQUIRE(observed.model.promote("db-1"));
        observed.run("w1", "WRITE i 1 \nx");
        observed.answer("w1");
    }
    SECTION("a statement that no caller sent") {
        observed.run("stranger", "READ i");
    }
    SECTION("a read that lacks an acknowledged write") {
        observed.checker.record_read_value("r1", 0, 1, 1);
    }
    SECTION("a read of a value that no caller wrote") {
        observed.checker.record_read_value("r1", 2, 0, 1);
    }
    SECTION("a statement without its id") {
        observed.run("", "WRITE i 1 \nx");
    }
    SECTION("a text that was cut at a line feed") {
        observed.run("w1", "WRITE i 1 ");
    }
    SECTION("a statement of another workspace") {
        auto changed = observed_database::as_sent("r1", "READ i");
        changed.workspace = "other";
        observed.run(changed);
    }
    SECTION("another statement's proof") {
        observed.run("r1", "READ i");
        observed.checker.record_answer("r1", {result_code::none, "proof-r0", {}});
    }
    SECTION("another statement's rows") {
        observed.run("r1", "READ i");
        observed.checker.record_answer("r1", {result_code::none, "proof-r1", {"1"}});
    }
    SECTION("a success without a proof") {
        observed.run("r1", "READ i");
        observed.checker.record_answer("r1", confirmed);
    }
    SECTION("a success where the instance refused") {
        observed.run("r1", "READ i");
        observed.model.answers.push_back(observed_database::as_sent("w1", "WRITE i 1 \nx"));
        observed.model.answers.back().reply.code = result_code::busy;
        observed.answer("r1");
        observed.answer("w1");
    }
    SECTION("rows for a statement that has none") {
        observed.send(sent_kind::set_value, "v1", "SET zone 2");
        observed.checker.record_answer("v1", {result_code::none, "-", {"1"}});
    }
    SECTION("other session values than the caller's") {
        auto changed = observed_database::as_sent("r1", "READ i");
        changed.values["zone"] = "2";
        observed.run(changed);
    }
    SECTION("a state of the session that does not follow from its statements") {
        observed.checker.record_state("r1", 'T', 'I');
    }
    SECTION("an answer without a question") {
        observed.checker.record_unrequested("i0", "DONE -");
    }
    CHECK(observed.checker.violations().size() == 1);
}

TEST_CASE("the soak's checker reports each violation around prepared statements", "[soak]") {
    observed_database observed;
    observed.checker.record_sent(
        {sent_kind::read, "e1", "EXECUTE s i", session_tests::prepared_statement{false, "q\n1"}, "i", "w", {}, ""});
    auto executed = observed_database::as_sent("e1", "i");
    executed.values.clear();
    executed.requested.command = endpoint_command::execute;
    executed.prepared = session_tests::prepared_statement{false, "q\n1"};
    SECTION("another shape") {
        executed.prepared->shape = "q";
        observed.run(executed);
    }
    SECTION("another argument") {
        executed.requested.text = "j";
        observed.run(executed);
    }
    SECTION("the text of an EXECUTE as a statement of its own") {
        executed.requested.command = endpoint_command::statement;
        observed.run(executed);
    }
    SECTION("a name that is not known though its preparing was acknowledged") {
        observed.checker.record_answer("e1", {result_code::no_statement, "", {}});
    }
    CHECK(observed.checker.violations().size() == 1);
}

TEST_CASE("the soak's checker reports each violation around transactions", "[soak]") {
    observed_database observed;
    for (const auto* const begin : {"b1", "b2"}) {
        observed.send(sent_kind::begin, begin, "BEGIN", begin);
    }
    observed.send(sent_kind::write, "w1", "WRITE i 1", "b1");
    observed.run("w1", "WRITE i 1", 1);
    observed.send(sent_kind::commit, "c1", "COMMIT", "b1");
    SECTION("a single statement inside a transaction") {
        observed.send(sent_kind::read, "r1", "READ i");
        observed.run("r1", "READ i", 1);
    }
    SECTION("a statement outside its transaction") {
        observed.send(sent_kind::read, "r1", "READ i", "b1");
        observed.run("r1", "READ i");
    }
    SECTION("a statement inside another caller's transaction") {
        observed.send(sent_kind::read, "r2", "READ i", "b2");
        observed.run("r2", "READ i", 1);
    }
    SECTION("a commit of another transaction of the instance") {
        observed.run("c1", "COMMIT", 2);
    }
    SECTION("a commit that its caller has not asked for") {
        observed.run("c2", "COMMIT", 1);
    }
    SECTION("a commit after a statement of the transaction was refused") {
        observed.checker.record_answer("w1", refused);
        observed.run("c1", "COMMIT", 1);
    }
    SECTION("a commit that was refused but took effect") {
        observed.run("c1", "COMMIT", 1);
        observed.checker.record_answer("c1", refused);
    }
    SECTION("an acknowledged commit that no instance ran") {
        observed.answer("c1");
    }
    SECTION("an acknowledged commit at a former primary") {
        REQUIRE(observed.model.promote("db-1"));
        observed.run("c1", "COMMIT", 1);
        observed.answer("c1");
    }
    CHECK(observed.checker.violations().size() == 1);
}

TEST_CASE("odd text has no line end of the protocol", "[soak]") {
    random_source random(1);
    constexpr int texts = 2000;
    for (int i = 0; i < texts; ++i) {
        const bool has_blanks = i % 2 == 0;
        const auto text = odd_text("1\r", has_blanks, random);
        CHECK(text.find("\r\n") == std::string::npos);
        CHECK((has_blanks || text.find(' ') == std::string::npos));
    }
}
