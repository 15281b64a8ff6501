#include <algorithm>
#include <catch2/catch.hpp>

#include "links/raw_client.hpp"
#include "platform/platform_fixture.hpp"

using namespace camphorstack;
using namespace camphorstack::platform_tests;
using camphorstack::tests::run_for;

namespace {

/// Fields that hold parts of the protocol's line end, and what could be read as a message of its own.
const std::vector<std::string> odd_fields{"ezrswxgrcoblf\ndrasyr",
                                          "\n",
                                          "\nx",
                                          "x\n",
                                          "\r",
                                          "x\r",
                                          "x\n\r",
                                          "x\r\r",
                                          "x\r \ny",
                                          "x\nQUERY q9 WRITE other 1",
                                          "x\nROW y",
                                          "x\nDONE -\nREADY I -",
                                          "x\nSTART books first-key",
                                          "x\nBYE",
                                          "a  b",
                                          " a ",
                                          std::string("a\0b", 3),
                                          "\t\x01\x7f\xff\xc3"};

void open_session(raw_client& caller) {
    caller.send("START books first-key\r\n");
    REQUIRE(caller.wait_for("READY I -\r\n"));
    caller.received.clear();
}

/// Sends one statement and returns the bytes of its answer; less if it is not answered within a second.
std::string ask(raw_client& caller, const std::string& query) {
    constexpr int answer_limit_ms = 1000;
    caller.received.clear();
    caller.send("QUERY " + query + "\r\n");
    if (caller.wait_for("\r\nREADY ", answer_limit_ms)) {
        run_for(millis{5});
        caller.poll();
    }
    return caller.received;
}

bool has_received(const wire_instance& instance, const std::string& message) {
    return std::ranges::count(instance.lines, message) == 1;
}

}  // namespace

TEST_CASE("a field with a line feed or another odd byte reaches the instance and its caller whole", "[platform][framing]") {
    platform_fixture system;
    raw_client caller(system.callers);
    raw_client other(system.callers);
    open_session(caller);
    open_session(other);
    REQUIRE(ask(other, "o1 WRITE other 0").starts_with("DONE proof-o1\r\n"));
    int number = 0;
    for (const auto& data : odd_fields) {
        CAPTURE(data);
        const auto id = "q" + std::to_string(++number);
        CHECK(ask(caller, id + "w WRITE item " + data).starts_with("DONE proof-" + id + "w\r\n"));
        CHECK(has_received(system.primary, "QUERY " + id + "w WRITE item " + data));
        CHECK(ask(caller, id + "r READ item").starts_with("ROW " + data + "\r\nDONE proof-" + id + "r\r\n"));
    }
    CHECK(ask(other, "o2 READ other").starts_with("ROW 0\r\nDONE proof-o2\r\n"));
    CHECK(system.primary.lines.size() + system.replica.lines.size() < 3 * odd_fields.size() + 20);
}

TEST_CASE("odd bytes in an id or an item or a session value or a prepared statement stay in their field", "[platform][framing]") {
    platform_fixture system;
    const auto field = GENERATE(as<std::string>(), "a\nb", "a\rb", "a\r", "\nQUERY", "\t\x01\xff");
    CAPTURE(field);
    raw_client caller(system.callers);
    open_session(caller);
    CHECK(ask(caller, "1" + field + " WRITE " + field + " v").starts_with("DONE proof-1" + field + "\r\n"));
    CHECK(ask(caller, "2 READ " + field).starts_with("ROW v\r\nDONE proof-2\r\n"));
    CHECK(ask(caller, "3 SET " + field + " " + field).starts_with("DONE -\r\n"));
    CHECK(ask(caller, "4 PREPARE " + field + " WRITE " + field).starts_with("DONE -\r\n"));
    CHECK(ask(caller, "5 EXECUTE " + field + " " + field + " " + field).starts_with("DONE proof-5\r\n"));
    CHECK(ask(caller, "6 READ " + field).starts_with("ROW " + field + "\r\nDONE proof-6\r\n"));
    CHECK(has_received(system.primary, "QUERY - SET " + field + " " + field));
    REQUIRE_FALSE(system.model.runs.empty());
    CHECK(system.model.runs.back().values == std::map<std::string, std::string>{{field, field}});
}

TEST_CASE("an item or a prepared shape that extends over blanks is served whole", "[platform][framing]") {
    platform_fixture system;
    raw_client caller(system.callers);
    open_session(caller);
    CHECK(ask(caller, "1 READ a  b ").starts_with("ROW none\r\nDONE proof-1\r\n"));
    CHECK(has_received(system.primary, "QUERY 1 READ a  b "));
    CHECK(ask(caller, "2 PREPARE s WRITE two  words ").starts_with("DONE -\r\n"));
    CHECK(ask(caller, "3 EXECUTE s item value").starts_with("DONE proof-3\r\n"));
    CHECK(ask(caller, "4 READ item").starts_with("ROW value\r\nDONE proof-4\r\n"));
    CHECK(std::ranges::any_of(system.primary.lines, [](const auto& line) {
        return line.starts_with("QUERY - PREPARE ") && line.ends_with(" WRITE two  words ");
    }));
}

TEST_CASE("a message that arrives in pieces is read once its CR LF is complete", "[platform][framing]") {
    platform_fixture system;
    raw_client caller(system.callers);
    open_session(caller);
    for (const std::string part : {"QUERY 1 WR", "ITE item a\r", "b\n", "c\r", "\r", "\n"}) {
        caller.send(part);
        run_for(millis{15});
    }
    CHECK(caller.wait_for("DONE proof-1\r\n"));
    CHECK(has_received(system.primary, "QUERY 1 WRITE item a\rb\nc\r"));
}

TEST_CASE("a key or a database name is compared whole behind a NUL or a line feed too", "[platform][framing]") {
    platform_fixture system;
    raw_client longer_key(system.callers);
    longer_key.send(std::string("START books first-key\0x\r\n", 25));
    CHECK(longer_key.wait_for("ERROR NOAUTH"));
    raw_client key_with_line_feed(system.callers);
    key_with_line_feed.send("START books first-key\nx\r\n");
    CHECK(key_with_line_feed.wait_for("ERROR NOAUTH"));
    raw_client longer_name(system.callers);
    longer_name.send("START books\n first-key\r\n");
    CHECK(longer_name.wait_for("ERROR NODB"));
}
