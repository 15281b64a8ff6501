#include <algorithm>
#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
constexpr millis document_time{1000};

/// Moves the keys of the first workspace to the second one, or back.
void pass_keys(session_fleet& fleet, std::size_t from, std::size_t to) {
    auto content = fleet.current_document();
    ++content.version;
    auto& keys = content.workspaces.at(from).keys;
    std::ranges::move(keys, std::back_inserter(content.workspaces.at(to).keys));
    keys.clear();
    fleet.publish(content);
    REQUIRE(fleet.run_until([&] { return fleet.host("host-3").catalog.content->version == content.version; }, document_time));
}

statement commit_statement(const std::string& id) {
    return plain_statement(id, statement_kind::commit, "COMMIT");
}

statement execute_statement(const std::string& id, const std::string& name, const std::string& argument) {
    auto requested = plain_statement(id, statement_kind::execute, "");
    requested.name = name;
    requested.argument = argument;
    return requested;
}

/// Returns the workspace for which a statement ran; "not run" if it did not.
workspace_id workspace_of_run(session_fleet& fleet, const std::string& id) {
    const auto& runs = fleet.database(0).runs;
    const auto found = std::ranges::find(runs, id, &observed_run::statement_id);
    return found == runs.end() ? "not run" : found->workspace;
}

}  // namespace

// Guards against statements that run for a workspace which no longer holds the caller's key (review/7).
TEST_CASE("an open transaction ends when its key is passed on to another workspace", "[session-fleet][passed-keys]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto kind = GENERATE(statement_kind::begin, statement_kind::begin_read_only);
    const bool writes = kind == statement_kind::begin;
    const auto session = fleet.open_session("host-3", consistency::primary);
    auto prepare = plain_statement("prepare", statement_kind::prepare, "");
    prepare.name = "shape";
    prepare.argument = "READ";
    REQUIRE(fleet.ask(session, prepare).code == result_code::none);
    REQUIRE(fleet.ask(session, plain_statement("b", kind, "BEGIN")).code == result_code::none);
    const bool has_begun = GENERATE(true, false);
    CAPTURE(writes, has_begun);
    if (has_begun) {
        const auto first = writes ? write_statement("first", "item", "1") : read_statement("first", "item");
        REQUIRE(fleet.ask(session, first).code == result_code::none);
    }
    pass_keys(fleet, 0, 1);
    SECTION("a statement is refused, and the transaction is rolled back") {
        const auto refused = fleet.ask(session, read_statement("late", "item"));
        CHECK(refused.code == result_code::aborted);
        CHECK(refused.state == session_state::failed);
        CHECK(fleet.ask(session, commit_statement("c")).code == result_code::aborted);
    }
    SECTION("a prepared statement is refused") {
        CHECK(fleet.ask(session, execute_statement("late", "shape", "item")).code == result_code::aborted);
        CHECK(fleet.ask(session, commit_statement("c")).code == result_code::aborted);
    }
    SECTION("a commit is refused") {
        const auto refused = fleet.ask(session, commit_statement("late"));
        CHECK(refused.code == result_code::aborted);
        CHECK(refused.state == session_state::idle);
    }
    CHECK(workspace_of_run(fleet, "late") == "not run");
    CHECK_FALSE(holds_write(fleet.database(0).primary(), "first"));

    // The caller goes on for the workspace that holds the key now.
    REQUIRE(fleet.ask(session, write_statement("after", "item", "2")).code == result_code::none);
    CHECK(workspace_of_run(fleet, "after") == "workspace-1");
}

// Guards against a check of the key that ends transactions for other changes of the document.
TEST_CASE("an open transaction goes on if its workspace keeps the key", "[session-fleet][passed-keys]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-3", consistency::primary);
    REQUIRE(fleet.ask(session, plain_statement("b", statement_kind::begin, "BEGIN")).code == result_code::none);
    REQUIRE(fleet.ask(session, write_statement("first", "item", "1")).code == result_code::none);
    SECTION("the keys of another workspace are passed on") {
        pass_keys(fleet, 2, 3);
    }
    SECTION("the key is passed on and back between two statements") {
        pass_keys(fleet, 0, 1);
        pass_keys(fleet, 1, 0);
    }
    CHECK(fleet.ask(session, write_statement("second", "item", "2")).code == result_code::none);
    CHECK(fleet.ask(session, commit_statement("c")).code == result_code::none);
    CHECK(workspace_of_run(fleet, "second") == "workspace-0");
    CHECK(holds_write(fleet.database(0).primary(), "second"));
}
