#include "camphorstack/support/log_value.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace camphorstack;

TEST_CASE("a plain word is logged as it is and any other text in quotes", "[log-fields]") {
    CHECK(log_value("5c0e7a21d94b36f8") == "5c0e7a21d94b36f8");
    CHECK(log_value("a=b@7") == "a=b@7");
    CHECK(log_value("").empty());
    CHECK(log_value("a b") == R"("a b")");
    CHECK(log_value("a\"b\\c") == R"("a\"b\\c")");
    CHECK(log_value(std::string("\0\n\xff", 3)) == R"("\x00\x0a\xff")");
    CHECK(log_quoted("busy") == R"("busy")");
    CHECK(log_quoted("") == R"("")");
}

// Guards against two texts that look alike in the log.
TEST_CASE("different texts differ in the log also if they are cut", "[log-fields]") {
    const std::string longest(100, 'x');
    const std::set<std::string> logged{
        log_value("\n"),          log_value("\\x0a"),        log_value("\"\\x0a\""),          log_value(longest),
        log_value(longest + "y"), log_value(longest + "yy"), log_value(longest + "\\...101"), log_value("x\\...101")};
    CHECK(logged.size() == 8);
    CHECK(log_value(std::string(1'000'000, '"')).size() < 300);
    CHECK(log_quoted(std::string(1'000'000, '\n')).size() < 2100);
}
