#include "camphorstack/executors/executor.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/sessions/position_samples.hpp"

using namespace camphorstack;

namespace {

/// An executor with one endpoint. The tests check its actions and results.
struct executor_fixture {
    executor_fixture() {
        endpoint_share share;
        share.entry.id = "i-1";
        share.entry.database = "db";
        share.entry.slots = 2;
        share.connection_limit = 6;
        this->shares["i-1"] = share;
        set_endpoints(this->state, this->shares, this->now);
    }

    run_request request(run_kind kind, const workspace_id& workspace = "ws") {
        run_request run;
        run.id = this->next++;
        run.endpoint = "i-1";
        run.workspace = workspace;
        run.kind = kind;
        run.statement_id = "q" + std::to_string(run.id);
        run.text = "READ x";
        run.statement_timeout = millis{800};
        run.queue_timeout = millis{250};
        return run;
    }

    /// Opens the requested connections, and returns the statements that were sent.
    std::vector<send_endpoint_statements> open_connections() {
        std::vector<send_endpoint_statements> sent;
        while (!this->state.actions.empty()) {
            for (const auto& action : std::exchange(this->state.actions, {})) {
                if (const auto* open = std::get_if<open_endpoint_connection>(&action)) {
                    on_connection_opened(this->state, {open->connection, std::nullopt}, this->now);
                } else if (const auto* statements = std::get_if<send_endpoint_statements>(&action)) {
                    sent.push_back(*statements);
                }
            }
        }
        return sent;
    }

    void reply(connection_id connection, result_code code = result_code::none, session_state after = session_state::idle) {
        endpoint_reply answer;
        answer.code = code;
        answer.state = after;
        answer.position = log_position{1, 5};
        const auto& run = this->state.connections.at(connection).run;
        const bool is_setup = this->state.connections.at(connection).setup_replies > 0;
        const bool runs_statement = this->state.connections.at(connection).stage == connection_stage::running && !is_setup;
        if (code == result_code::none && runs_statement) {
            answer.proof = "proof-" + run->request.statement_id;
        }
        on_endpoint_reply(this->state, {connection, answer}, this->now);
    }

    void grant_lease(leader_round round, millis left, bool closing = false) {
        set_leader_lease(this->state, "i-1", leader_lease{round, this->now + left, closing}, this->now);
    }

    run_result result() {
        REQUIRE_FALSE(this->state.results.empty());
        auto first = this->state.results.front().result;
        this->state.results.erase(this->state.results.begin());
        return first;
    }

    executor_state state;
    std::map<endpoint_id, endpoint_share> shares;
    instant now{1000};
    run_id next = 1;
};

}  // namespace

TEST_CASE("runs above the endpoint's slots wait, those of higher priority first", "[executor]") {
    executor_fixture fixture;
    for (int i = 0; i < 4; ++i) {
        submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    }
    CHECK(fixture.open_connections().size() == 4);
    auto later = fixture.request(run_kind::read);
    later.priority = 2;
    auto urgent = fixture.request(run_kind::read);
    urgent.priority = 0;
    submit_run(fixture.state, "host", later, fixture.now);
    submit_run(fixture.state, "host", urgent, fixture.now);
    CHECK(fixture.open_connections().empty());
    fixture.reply(1);
    const auto sent = fixture.open_connections();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].statements.back().id == urgent.statement_id);
}

TEST_CASE("a run that cannot be sent within its queue timeout is refused, at once if the estimated wait is longer",
          "[executor]") {
    executor_fixture fixture;
    for (int i = 0; i < 4; ++i) {
        submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    }
    fixture.open_connections();
    submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    CHECK(fixture.state.results.empty());
    fixture.now = fixture.now + millis{250};
    executor_tick(fixture.state, fixture.now);
    CHECK(fixture.result().outcome == run_outcome::not_run);
    fixture.state.endpoints.at("i-1").service.all = 1000;
    submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    const auto refused = fixture.result();
    CHECK((refused.outcome == run_outcome::not_run && refused.code == result_code::busy && refused.wait > millis{250}));
}

TEST_CASE("a statement of an open transaction goes before a full queue", "[executor][run-order]") {
    executor_fixture fixture;
    auto first = fixture.request(run_kind::read);
    first.transaction = 7;
    first.start = transaction_start::plain;
    submit_run(fixture.state, "host", first, fixture.now);
    fixture.open_connections();
    fixture.reply(1, result_code::none, session_state::in_transaction);
    fixture.open_connections();
    for (int i = 0; i < 6; ++i) {
        submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    }
    fixture.open_connections();
    fixture.reply(1, result_code::none, session_state::in_transaction);
    fixture.open_connections();
    auto next = fixture.request(run_kind::write);
    next.transaction = 7;
    submit_run(fixture.state, "host", next, fixture.now);
    const auto sent = fixture.open_connections();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].statements.back().id == next.statement_id);
    CHECK(count_runs(fixture.state.endpoints.at("i-1").queue) > 0);
}

TEST_CASE("queued runs that need a lease are refused as not run when it ends, others wait on", "[executor][run-order]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{100});
    for (int i = 0; i < 4; ++i) {
        submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    }
    fixture.open_connections();
    auto write = fixture.request(run_kind::write);
    write.round = 1;
    submit_run(fixture.state, "host", write, fixture.now);
    submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    CHECK(fixture.state.results.empty());
    fixture.now = fixture.now + millis{100};
    executor_tick(fixture.state, fixture.now);
    const auto refused = fixture.result();
    CHECK((refused.id == write.id && refused.outcome == run_outcome::not_run));
    CHECK(fixture.state.results.empty());
    CHECK(count_runs(fixture.state.endpoints.at("i-1").queue) == 1);
}

TEST_CASE("a workspace without a connection gets one while all statements in flight are another's", "[executor][run-order]") {
    executor_fixture fixture;
    for (int i = 0; i < 8; ++i) {
        submit_run(fixture.state, "host", fixture.request(run_kind::read, "busy"), fixture.now);
    }
    fixture.open_connections();
    const auto waiting = fixture.request(run_kind::read, "other");
    submit_run(fixture.state, "host", waiting, fixture.now);
    CHECK(fixture.open_connections().empty());
    fixture.reply(1);
    fixture.reply(2);
    const auto sent = fixture.open_connections();
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].statements.back().id == waiting.statement_id);
}

TEST_CASE("the result of a run whose connection is lost says whether the run may have taken effect", "[executor]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{2000});
    const auto [kind, transaction, code] = GENERATE(table<run_kind, std::uint64_t, result_code>({
        {run_kind::read, 0U, result_code::failed},
        {run_kind::write, 0U, result_code::in_doubt},
        {run_kind::write, 7U, result_code::aborted},
        {run_kind::commit, 7U, result_code::in_doubt},
    }));
    auto run = fixture.request(kind);
    run.round = 1;
    run.transaction = transaction;
    run.start = transaction == 0 ? transaction_start::none : transaction_start::plain;
    submit_run(fixture.state, "host", run, fixture.now);
    fixture.open_connections();
    if (transaction != 0) {
        fixture.reply(1, result_code::none, session_state::in_transaction);
        CHECK(fixture.open_connections().size() == 1);
    }
    on_connection_ended(fixture.state, {1, result_code::none, false}, fixture.now);
    const auto result = fixture.result();
    CHECK(result.outcome == run_outcome::lost);
    CHECK(result.code == code);
    CHECK(fixture.state.transactions.empty());
}

TEST_CASE("a write is not sent without a lease of its round, and a late success is in doubt", "[executor][former-primary]") {
    executor_fixture fixture;
    auto run = fixture.request(run_kind::write);
    run.round = 2;
    submit_run(fixture.state, "host", run, fixture.now);
    CHECK(fixture.result().outcome == run_outcome::not_run);
    fixture.grant_lease(2, millis{500});
    submit_run(fixture.state, "host", run, fixture.now);
    CHECK(fixture.open_connections().size() == 1);
    SECTION("before the lease has expired") {
        fixture.reply(1);
        CHECK(fixture.result().outcome == run_outcome::done);
    }
    SECTION("after the lease has expired") {
        fixture.now = fixture.now + millis{700};
        fixture.reply(1);
        const auto late = fixture.result();
        CHECK((late.outcome == run_outcome::lost && late.code == result_code::in_doubt));
    }
    SECTION("the lease is withdrawn before the answer") {
        set_leader_lease(fixture.state, "i-1", std::nullopt, fixture.now);
        CHECK(fixture.result().code == result_code::in_doubt);
        CHECK(is_leader_work_done(fixture.state, "i-1"));
    }
    SECTION("a planned change lets open transactions end") {
        fixture.reply(1);
        fixture.result();
        auto begin = fixture.request(run_kind::write);
        begin.round = 2;
        begin.transaction = 9;
        begin.start = transaction_start::plain;
        submit_run(fixture.state, "host", begin, fixture.now);
        fixture.open_connections();
        fixture.reply(1, result_code::none, session_state::in_transaction);
        fixture.open_connections();
        fixture.reply(1, result_code::none, session_state::in_transaction);
        fixture.result();
        fixture.grant_lease(2, millis{500}, true);
        CHECK_FALSE(is_leader_work_done(fixture.state, "i-1"));
        auto other = fixture.request(run_kind::write);
        other.round = 2;
        submit_run(fixture.state, "host", other, fixture.now);
        CHECK(fixture.result().outcome == run_outcome::not_run);
        auto commit = fixture.request(run_kind::commit);
        commit.round = 2;
        commit.transaction = 9;
        submit_run(fixture.state, "host", commit, fixture.now);
        CHECK(fixture.open_connections().size() == 1);
        fixture.reply(1);
        CHECK(fixture.result().outcome == run_outcome::done);
        CHECK(is_leader_work_done(fixture.state, "i-1"));
    }
}

TEST_CASE("a connection serves one workspace, and the longest idle one is closed for another workspace", "[executor]") {
    executor_fixture fixture;
    for (int i = 0; i < 6; ++i) {
        submit_run(fixture.state, "host", fixture.request(run_kind::read, "ws" + std::to_string(i)), fixture.now);
        const auto sent = fixture.open_connections();
        REQUIRE(sent.size() == 1);
        fixture.now = fixture.now + millis{1};
        fixture.reply(sent[0].connection);
    }
    submit_run(fixture.state, "host", fixture.request(run_kind::read, "ws3"), fixture.now);
    CHECK(fixture.open_connections().size() == 1);
    submit_run(fixture.state, "host", fixture.request(run_kind::read, "ws9"), fixture.now);
    CHECK(std::ranges::count(fixture.state.actions, executor_action(close_endpoint_connection{1})) == 1);
    CHECK(fixture.open_connections().size() == 1);
    CHECK(fixture.state.connections.size() == 6);
}

TEST_CASE("the position for a cutoff is the oldest sampled one that contains all earlier writes", "[position-samples]") {
    position_samples samples;
    for (int i = 0; i < 10; ++i) {
        add_sample(samples, 1, {instant{i * 100}, {1, static_cast<std::uint64_t>(i)}});
    }
    CHECK(position_since(samples, instant{250}) == log_position{1, 3});
    CHECK(position_since(samples, instant{300}) == log_position{1, 3});
    CHECK_FALSE(position_since(samples, instant{901}));
    add_sample(samples, 2, {instant{950}, {2, 1}});
    CHECK(position_since(samples, instant{250}) == log_position{2, 1});
    add_sample(samples, 1, {instant{960}, {1, 99}});
    CHECK(position_since(samples, instant{955}) == std::nullopt);
}

// Guards against a suspicion that outlives its cause, as nothing is sent to a suspected endpoint that would show that it answers
// again (review/1).
TEST_CASE("a suspicion ends when no attempt has failed for a while", "[executor][suspicion]") {
    executor_fixture fixture;
    const auto suspected = [&] { return is_suspected(fixture.state, fixture.state.endpoints.at("i-1"), fixture.now); };
    const auto opened = [&] {
        std::vector<connection_id> ids;
        for (const auto& action : std::exchange(fixture.state.actions, {})) {
            if (const auto* open = std::get_if<open_endpoint_connection>(&action)) {
                ids.push_back(open->connection);
            }
        }
        return ids;
    };
    const auto refuse_opened = [&] {
        for (const auto id : opened()) {
            on_connection_ended(fixture.state, {id, result_code::none, true}, fixture.now);
        }
    };
    const auto wait = [&](millis span) {
        fixture.now = fixture.now + span;
        executor_tick(fixture.state, fixture.now);
    };
    SECTION("refused connections") {
        submit_run(fixture.state, "self", fixture.request(run_kind::read), fixture.now);
        for (int i = 0; i < 3; ++i) {
            refuse_opened();
            wait(millis{60});
        }
        CHECK(suspected());
        refuse_opened();
        wait(millis{500});
        CHECK(suspected());
        wait(millis{1000});
        CHECK_FALSE(suspected());
        // A single refusal after that is no suspicion.
        submit_run(fixture.state, "self", fixture.request(run_kind::read), fixture.now);
        refuse_opened();
        CHECK_FALSE(suspected());
    }
    SECTION("statements without an answer") {
        submit_run(fixture.state, "self", fixture.request(run_kind::read), fixture.now);
        static_cast<void>(fixture.open_connections());
        wait(millis{700});
        CHECK(suspected());
        wait(millis{150});
        CHECK(suspected());
        wait(millis{1100});
        CHECK_FALSE(suspected());
    }
    SECTION("connections that do not open") {
        submit_run(fixture.state, "self", fixture.request(run_kind::read), fixture.now);
        REQUIRE_FALSE(opened().empty());
        wait(millis{1050});
        CHECK(suspected());
        wait(millis{1100});
        CHECK_FALSE(suspected());
    }
}

TEST_CASE("a refusal that is sent twice is not taken for the next statement's", "[executor][repeated-answers]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{5000});
    const auto code = GENERATE(result_code::busy, result_code::read_only, result_code::lagging, result_code::failed);
    auto first = fixture.request(run_kind::write);
    first.round = 1;
    submit_run(fixture.state, "host", first, fixture.now);
    REQUIRE(fixture.open_connections().size() == 1);
    fixture.reply(1, code);
    CHECK(fixture.result().code == code);
    auto second = fixture.request(run_kind::write);
    second.round = 1;
    submit_run(fixture.state, "host", second, fixture.now);
    const auto sent = fixture.open_connections();
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().connection != 1);
    on_endpoint_reply(fixture.state, {1, endpoint_reply{code, "", "", {}, session_state::idle, std::nullopt, std::nullopt}},
                      fixture.now);
    CHECK(fixture.state.results.empty());
    fixture.reply(sent.front().connection);
    CHECK(fixture.result().outcome == run_outcome::done);
}

TEST_CASE("a refusal inside a transaction ends the transaction at the endpoint", "[executor][repeated-answers]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{5000});
    auto first = fixture.request(run_kind::write);
    first.round = 1;
    first.transaction = 4;
    first.start = transaction_start::plain;
    submit_run(fixture.state, "host", first, fixture.now);
    fixture.open_connections();
    fixture.reply(1, result_code::none, session_state::in_transaction);
    fixture.open_connections();
    fixture.reply(1, result_code::busy, session_state::in_transaction);
    const auto result = fixture.result();
    CHECK(result.code == result_code::busy);
    CHECK(result.state == session_state::failed);
    CHECK_FALSE(result.transaction_open);
    CHECK(fixture.state.transactions.empty());
    CHECK(std::ranges::count(fixture.state.actions, executor_action(close_endpoint_connection{1})) == 1);
}

TEST_CASE("a status that is sent twice is not taken for a later status of a change of leader", "[executor][repeated-answers]") {
    executor_fixture fixture;
    endpoint_reply status;
    status.status = endpoint_self_report{true, 3, {3, 10}, millis{0}};
    submit_run(fixture.state, "host", fixture.request(run_kind::status), fixture.now);
    const auto sent = fixture.open_connections();
    REQUIRE(sent.size() == 1);
    on_endpoint_reply(fixture.state, {1, status}, fixture.now);
    CHECK(fixture.result().status == status.status);
    submit_run(fixture.state, "host", fixture.request(run_kind::status), fixture.now);
    CHECK(fixture.open_connections().front().connection != 1);
    on_endpoint_reply(fixture.state, {1, status}, fixture.now);
    CHECK(fixture.state.results.empty());
}

TEST_CASE("a leader's position that is sent twice is not taken for a later one", "[executor][repeated-answers]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{5000});
    const auto ask_position = [&] {
        auto position = fixture.request(run_kind::status);
        position.round = 1;
        submit_run(fixture.state, "host", position, fixture.now);
        const auto sent = fixture.open_connections();
        REQUIRE(sent.size() == 1);
        return sent.front().connection;
    };
    endpoint_reply status;
    status.status = endpoint_self_report{true, 1, {1, 10}, millis{0}};
    status.position = log_position{1, 10};
    const auto connection = ask_position();
    on_endpoint_reply(fixture.state, {connection, status}, fixture.now);
    CHECK(fixture.result().position == log_position{1, 10});
    SECTION("the position has not changed") {
        REQUIRE(ask_position() == connection);
        on_endpoint_reply(fixture.state, {connection, status}, fixture.now);
        CHECK(fixture.result().position == log_position{1, 10});
    }
    SECTION("a write was acknowledged meanwhile") {
        auto write = fixture.request(run_kind::write);
        write.round = 1;
        submit_run(fixture.state, "host", write, fixture.now);
        const auto sent = fixture.open_connections();
        REQUIRE(sent.size() == 1);
        endpoint_reply written;
        written.proof = "proof";
        written.position = log_position{1, 11};
        on_endpoint_reply(fixture.state, {sent.front().connection, written}, fixture.now);
        CHECK(fixture.result().outcome == run_outcome::done);
        REQUIRE(ask_position() == connection);
        on_endpoint_reply(fixture.state, {connection, status}, fixture.now);
        CHECK(fixture.result().outcome != run_outcome::done);
        // The next request gets its answer, also from an endpoint that has lost a part of its log.
        const auto fresh = ask_position();
        CHECK(fresh != connection);
        on_endpoint_reply(fixture.state, {fresh, status}, fixture.now);
        CHECK(fixture.result().outcome == run_outcome::done);
    }
}

TEST_CASE("an answer that no statement awaits ends its connection and is logged", "[executor][repeated-answers]") {
    executor_fixture fixture;
    submit_run(fixture.state, "host", fixture.request(run_kind::read), fixture.now);
    fixture.open_connections();
    fixture.reply(1);
    CHECK(fixture.result().outcome == run_outcome::done);
    endpoint_reply other;
    SECTION("a proof that was not delivered") {
        other.proof = "another";
    }
    SECTION("an error") {
        other.code = result_code::busy;
    }
    on_endpoint_reply(fixture.state, {1, other}, fixture.now);
    CHECK(fixture.state.connections.empty());
    REQUIRE(fixture.state.stray_answers.size() == 1);
    CHECK(fixture.state.stray_answers.front().match == answer_match::unexpected);
}

namespace {

/// Statements that the executor sent since the last call, without those that open or close connections.
std::vector<endpoint_statement> take_sent(executor_fixture& fixture) {
    std::vector<endpoint_statement> sent;
    for (const auto& batch : fixture.open_connections()) {
        sent.insert(sent.end(), batch.statements.begin(), batch.statements.end());
    }
    return sent;
}

endpoint_reply proven(const std::string& proof, session_state after) {
    endpoint_reply answer;
    answer.proof = proof;
    answer.state = after;
    answer.position = log_position{1, 5};
    return answer;
}

}  // namespace

TEST_CASE("a repeated answer is not taken for another statement to which its caller gave the same id",
          "[executor][repeated-answers]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{5000});
    auto first = fixture.request(run_kind::write);
    first.round = 1;
    first.transaction = 4;
    first.start = transaction_start::plain;
    first.statement_id = "same";
    first.text = "WRITE x 1";
    submit_run(fixture.state, "host", first, fixture.now);
    fixture.open_connections();
    fixture.reply(1, result_code::none, session_state::in_transaction);
    fixture.open_connections();
    const auto written = proven("proof of the write", session_state::in_transaction);
    on_endpoint_reply(fixture.state, {1, written}, fixture.now);
    CHECK(fixture.result().proof == written.proof);
    auto second = fixture.request(GENERATE(run_kind::read, run_kind::commit));
    second.round = 1;
    second.transaction = 4;
    second.statement_id = "same";
    second.text = second.kind == run_kind::read ? "READ y" : "COMMIT";
    submit_run(fixture.state, "host", second, fixture.now);
    REQUIRE(take_sent(fixture).size() == 1);
    on_endpoint_reply(fixture.state, {1, written}, fixture.now);
    CHECK(fixture.state.results.empty());
}

TEST_CASE("a repeated answer to BEGIN does not send a read that the endpoint may run before it has the position",
          "[executor][repeated-answers]") {
    executor_fixture fixture;
    const auto begin = [&](std::uint64_t transaction, const log_position& after) {
        auto run = fixture.request(run_kind::read);
        run.transaction = transaction;
        run.start = transaction_start::read_only;
        run.after = after;
        submit_run(fixture.state, "host", run, fixture.now);
        return take_sent(fixture);
    };
    REQUIRE(begin(4, log_position{1, 4}).size() == 1);
    // Its position is 1.5.
    fixture.reply(1, result_code::none, session_state::in_transaction);
    REQUIRE(take_sent(fixture).size() == 1);
    fixture.reply(1, result_code::none, session_state::in_transaction);
    auto commit = fixture.request(run_kind::commit);
    commit.transaction = 4;
    submit_run(fixture.state, "host", commit, fixture.now);
    REQUIRE(take_sent(fixture).size() == 1);
    fixture.reply(1);
    REQUIRE(begin(5, log_position{1, 9}).size() == 1);
    // The answer to the first BEGIN, for the second time. The endpoint will answer the second one with LAGGING.
    fixture.reply(1, result_code::none, session_state::in_transaction);
    for (const auto& sent : take_sent(fixture)) {
        CHECK(sent.after == log_position{1, 9});
    }
}

TEST_CASE("a success that leaves another state than its statement leads to is not passed on", "[executor][repeated-answers]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{5000});
    auto first = fixture.request(run_kind::write);
    first.round = 1;
    first.transaction = 4;
    first.start = transaction_start::plain;
    submit_run(fixture.state, "host", first, fixture.now);
    fixture.open_connections();
    fixture.reply(1, result_code::none, session_state::in_transaction);
    fixture.open_connections();
    SECTION("a write of a transaction that ran outside of it") {
        on_endpoint_reply(fixture.state, {1, proven("proof of the write", session_state::idle)}, fixture.now);
    }
    SECTION("a commit after which the transaction is still open") {
        on_endpoint_reply(fixture.state, {1, proven("proof of the write", session_state::in_transaction)}, fixture.now);
        CHECK(fixture.result().outcome == run_outcome::done);
        auto commit = fixture.request(run_kind::commit);
        commit.round = 1;
        commit.transaction = 4;
        submit_run(fixture.state, "host", commit, fixture.now);
        REQUIRE(take_sent(fixture).size() == 1);
        on_endpoint_reply(fixture.state, {1, proven("another", session_state::in_transaction)}, fixture.now);
    }
    for (const auto& item : fixture.state.results) {
        CHECK(item.result.outcome != run_outcome::done);
    }
}

TEST_CASE("a confirmed BEGIN that is sent twice does not begin a later transaction", "[executor][repeated-answers]") {
    executor_fixture fixture;
    fixture.grant_lease(1, millis{5000});
    const auto begin = [&](std::uint64_t transaction) {
        auto run = fixture.request(run_kind::write);
        run.round = 1;
        run.transaction = transaction;
        run.start = transaction_start::plain;
        submit_run(fixture.state, "host", run, fixture.now);
        const auto sent = fixture.open_connections();
        REQUIRE(sent.size() == 1);
        REQUIRE(sent.front().statements.back().command == endpoint_command::begin);
        return sent.front().connection;
    };
    endpoint_reply confirmed;
    confirmed.state = session_state::in_transaction;
    confirmed.position = log_position{1, 5};
    const auto first = begin(4);
    on_endpoint_reply(fixture.state, {first, confirmed}, fixture.now);
    fixture.open_connections();
    on_endpoint_reply(fixture.state, {first, proven("proof of the write", session_state::in_transaction)}, fixture.now);
    auto commit = fixture.request(run_kind::commit);
    commit.round = 1;
    commit.transaction = 4;
    submit_run(fixture.state, "host", commit, fixture.now);
    REQUIRE(take_sent(fixture).size() == 1);
    auto committed = proven("proof of the commit", session_state::idle);
    SECTION("the log has grown") {
        committed.position = log_position{1, 6};
        on_endpoint_reply(fixture.state, {first, committed}, fixture.now);
        fixture.state.results.clear();
        REQUIRE(begin(5) == first);
        on_endpoint_reply(fixture.state, {first, confirmed}, fixture.now);
        CHECK(take_sent(fixture).empty());
        CHECK(fixture.result().outcome == run_outcome::not_run);
        CHECK_FALSE(fixture.state.connections.contains(first));
    }
    SECTION("the log has not grown") {
        on_endpoint_reply(fixture.state, {first, committed}, fixture.now);
        fixture.state.results.clear();
        CHECK(begin(5) != first);
    }
}

// Guards against a host with an outdated list that reads or writes at an endpoint which has become another database's.
TEST_CASE("a run does not run at another database's endpoint", "[executor][moved-endpoints]") {
    executor_fixture fixture;
    fixture.grant_lease(3, millis{5000});
    auto run = fixture.request(GENERATE(run_kind::read, run_kind::write, run_kind::status));
    run.round = 3;
    SECTION("it names another database") {
        run.database = "former";
        submit_run(fixture.state, "host", run, fixture.now);
        CHECK(fixture.open_connections().empty());
        const auto refused = fixture.result();
        CHECK(refused.outcome == run_outcome::not_run);
        CHECK(refused.code == result_code::busy);
        CHECK_FALSE(refused.position);
    }
    SECTION("it names the endpoint's database") {
        run.database = "db";
        submit_run(fixture.state, "host", run, fixture.now);
        CHECK(fixture.open_connections().size() == 1);
    }
    SECTION("its host's version names no database") {
        submit_run(fixture.state, "host", run, fixture.now);
        CHECK(fixture.open_connections().size() == 1);
    }
}
