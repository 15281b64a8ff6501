#include "camphorstack/links/endpoint_links.hpp"

#include <catch2/catch.hpp>
#include <vector>

#include "links/run_main_loop.hpp"
#include "stand_ins/instance_server.hpp"
#include "stand_ins/pg_server.hpp"

using namespace camphorstack;
using namespace camphorstack::stand_ins;
using namespace camphorstack::tests;

namespace {

/// Endpoint links that keep their events in order.
struct recorded_links {
    std::vector<host_event> events;
    endpoint_links links{[this](host_event event) { this->events.push_back(std::move(event)); }};

    void connect(connection_id id, const std::string& address) {
        this->links.open({id, "instance", address});
        REQUIRE(this->events.empty());
        REQUIRE(this->next() == host_event(endpoint_connected{id}));
    }

    host_event next() {
        REQUIRE(run_until([this] { return !this->events.empty(); }));
        auto event = this->events.front();
        this->events.erase(this->events.begin());
        return event;
    }

    endpoint_answer call(connection_id id, const endpoint_call& call) {
        this->links.send({id, call});
        REQUIRE(this->events.empty());
        return std::get<endpoint_answered>(this->next()).answer;
    }

    bool has_no_event() {
        run_for(millis{30});
        return this->events.empty();
    }
};

/// PostgreSQL server whose answers the test sends explicitly.
struct scripted_server {
    std::vector<std::string> queries;
    pg_session session = 0;
    pg_server server{"127.0.0.1:0",
                     {[this](pg_session id, const std::string&) {
                          this->session = id;
                          this->server.accept_login(id);
                      },
                      [this](pg_session, const std::string& query) { this->queries.push_back(query); }, [](pg_session) {}}};

    std::string wait_for_query() {
        REQUIRE(run_until([this] { return !this->queries.empty(); }));
        return this->queries.front();
    }
};

endpoint_call write_call(call_id id, term_number term, std::string request, std::string statement) {
    return {id, endpoint_operation::execute, term, true, std::move(request), "", std::move(statement)};
}

endpoint_call operation_call(endpoint_operation operation, term_number term, std::string statement = "") {
    return {1, operation, term, true, "r", "", std::move(statement)};
}

pg_table valid_table() {
    endpoint_answer answer;
    answer.request = "r-1";
    answer.body = "5";
    return to_table(answer);
}

instance_options fast_options() {
    instance_options options;
    options.connect_time = millis{1};
    return options;
}

}  // namespace

TEST_CASE("each operation reaches the instance and its answer comes back", "[endpoint_links]") {
    instance_server instance(fast_options());
    recorded_links link;
    link.connect(1, instance.address());
    CHECK(link.call(1, operation_call(endpoint_operation::fence, 3)).term == 3);
    CHECK(link.call(1, operation_call(endpoint_operation::promote, 3)).role == endpoint_role::primary);
    const auto written = link.call(1, write_call(7, 3, "r-1", "PUT book it's a \\ back'slash"));
    CHECK(written.id == 7);
    CHECK(written.request == "r-1");
    CHECK(written.body == "it's a \\ back'slash");
    CHECK(written.position == log_position{3, 2});
    const auto status = link.call(1, {8, endpoint_operation::status, 0, false, "", "", ""});
    CHECK(status.request.empty());
    CHECK(status.position == log_position{3, 2});
    CHECK(link.call(1, write_call(9, 2, "r-2", "ADD book 1")).failure == endpoint_error::refused_term);
    CHECK(link.call(1, write_call(9, 3, "r-2", "WIPE")).failure == endpoint_error::bad_statement);
    CHECK(link.call(1, operation_call(endpoint_operation::commit, 3)).failure == endpoint_error::no_transaction);
    link.call(1, operation_call(endpoint_operation::begin, 3));
    CHECK(link.call(1, operation_call(endpoint_operation::execute, 3, "ADD n 4")).body == "4");
    CHECK(link.call(1, operation_call(endpoint_operation::rollback, 3)).position == log_position{3, 2});
    CHECK(link.call(1, operation_call(endpoint_operation::follow, 4, "127.0.0.1:1")).role == endpoint_role::replica);
}

TEST_CASE("an instance refuses connections above its limit", "[endpoint_links]") {
    auto options = fast_options();
    options.connections = 1;
    instance_server instance(options);
    recorded_links link;
    link.connect(1, instance.address());
    link.links.open({2, "instance", instance.address()});
    CHECK(link.next() == host_event(endpoint_closed{2}));
    link.links.close(1);
    run_for(millis{30});
    link.connect(3, instance.address());
}

TEST_CASE("an address that refuses or is malformed is reported as closed, from the main loop", "[endpoint_links]") {
    const auto address = GENERATE(std::string("127.0.0.1:1"), std::string("not an address"), std::string("127.0.0.1:x"));
    recorded_links link;
    link.links.open({1, "instance", address});
    CHECK(link.events.empty());
    CHECK(link.next() == host_event(endpoint_closed{1}));
    CHECK(link.has_no_event());
}

TEST_CASE("an invalid answer closes the connection", "[endpoint_links]") {
    scripted_server scripted;
    recorded_links link;
    link.connect(1, scripted.server.address());
    link.links.send({1, write_call(5, 1, "r-1", "ADD book 5")});
    scripted.wait_for_query();
    auto table = valid_table();
    SECTION("truncated") {
        const auto bytes = encode_table(table);
        scripted.server.send_bytes(scripted.session, bytes.substr(0, bytes.size() - 4));
        CHECK(link.has_no_event());
        scripted.server.close(scripted.session);
    }
    SECTION("garbage") {
        scripted.server.send_bytes(scripted.session, std::string(64, '\x7f'));
        scripted.server.close(scripted.session);
    }
    SECTION("of another request") {
        table.rows[0][0] = "r-2";
        scripted.server.answer(scripted.session, table);
    }
    SECTION("with a second row") {
        table.rows.push_back(table.rows[0]);
        scripted.server.answer(scripted.session, table);
    }
    SECTION("with a second table") {
        scripted.server.send_bytes(scripted.session, encode_table(table) + encode_table(table) + encode_ready());
    }
    SECTION("with an error after the row") {
        scripted.server.send_bytes(scripted.session, encode_table(table));
        scripted.server.send_error(scripted.session, "XX000", "failed after the row");
    }
    SECTION("with other columns") {
        table.columns[2] = "text";
        scripted.server.answer(scripted.session, table);
    }
    SECTION("with an invalid number") {
        table.rows[0][4] = "3x";
        scripted.server.answer(scripted.session, table);
    }
    SECTION("an error of the server") {
        scripted.server.send_error(scripted.session, "42601", "no such function");
    }
    CHECK(link.next() == host_event(endpoint_closed{1}));
    CHECK(link.has_no_event());
    CHECK(scripted.queries.size() == 1);
}

TEST_CASE("an answer that arrives in pieces is complete only at its end", "[endpoint_links]") {
    scripted_server scripted;
    recorded_links link;
    link.connect(1, scripted.server.address());
    link.links.send({1, write_call(5, 1, "r-1", "ADD book 5")});
    scripted.wait_for_query();
    scripted.server.send_bytes(scripted.session, encode_table(valid_table()));
    CHECK(link.has_no_event());
    scripted.server.send_bytes(scripted.session, encode_ready());
    CHECK(std::get<endpoint_answered>(link.next()).answer.body == "5");
}

TEST_CASE("a silent server gets one query and no event follows a close", "[endpoint_links]") {
    scripted_server scripted;
    recorded_links link;
    link.connect(1, scripted.server.address());
    link.links.send({1, write_call(5, 1, "r-1", "ADD book 5")});
    scripted.wait_for_query();
    CHECK(link.has_no_event());
    link.links.close(1);
    scripted.server.answer(scripted.session, valid_table());
    CHECK(link.has_no_event());
    CHECK(scripted.queries.size() == 1);
}

TEST_CASE("data on an idle connection closes it, so that a late answer is never taken for that of a later call",
          "[endpoint_links]") {
    scripted_server scripted;
    recorded_links link;
    link.connect(1, scripted.server.address());
    SECTION("a late answer") {
        scripted.server.answer(scripted.session, valid_table());
    }
    SECTION("the end of the connection") {
        scripted.server.close(scripted.session);
    }
    CHECK(link.next() == host_event(endpoint_closed{1}));
}

TEST_CASE("a statement that the protocol cannot carry is not sent", "[endpoint_links]") {
    // Guards against a truncated statement: a null character would end it early, and a different statement than the caller's
    // would run.
    const auto statement = GENERATE(std::string("PUT book 1\0 2", 13), std::string("PUT book \xff"));
    scripted_server scripted;
    recorded_links link;
    link.connect(1, scripted.server.address());
    link.links.send({1, write_call(5, 1, "r-1", statement)});
    CHECK(link.events.empty());
    CHECK(link.next() == host_event(endpoint_closed{1}));
    CHECK(scripted.queries.empty());
}

TEST_CASE("a replica pulls its primary's log and drops entries that the primary does not have", "[instance_server]") {
    instance_server first(fast_options());
    instance_server second(fast_options());
    recorded_links link;
    link.connect(1, first.address());
    link.connect(2, second.address());
    link.call(1, operation_call(endpoint_operation::promote, 1));
    link.call(2, operation_call(endpoint_operation::follow, 1, first.address()));
    link.call(1, write_call(1, 1, "r-1", "ADD n 1"));
    REQUIRE(run_until([&] { return second.model().log == first.model().log; }));
    // The second instance becomes primary, so the following writes of the first one, the former primary, reach no replica.
    link.call(2, operation_call(endpoint_operation::promote, 2));
    for (int i = 0; i < 20; ++i) {
        link.call(1, write_call(1, 1, "lost-" + std::to_string(i), "ADD n 100"));
    }
    link.call(2, write_call(1, 2, "r-2", "ADD n 2"));
    link.call(1, operation_call(endpoint_operation::follow, 2, second.address()));
    REQUIRE(run_until([&] { return second.model().log == first.model().log; }));
    CHECK(first.model().values.at("n") == "3");
    CHECK(link.call(1, {1, endpoint_operation::status, 0, false, "", "", ""}).replication_age < millis{50});
}
