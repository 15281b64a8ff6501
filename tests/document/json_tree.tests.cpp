#include <catch2/catch.hpp>
#include <limits>

#include "camphorstack/document/json_tree.hpp"

using namespace camphorstack;

// Guards against json-glib's reading of whole numbers above 64 bits as -1 or as another wrong number.
TEST_CASE("a whole number that does not fit into 64 bits is not read as an integer", "[json]") {
    for (const auto* number : {"9223372036854775808", "18446744073709551616", "99999999999999999999", "-9223372036854775809"}) {
        CAPTURE(number);
        const json_tree tree(std::string("{\"a\":") + number + ",\"b\":[" + number + "],\"c\":\"" + number + "\"}");
        REQUIRE(tree.errors().empty());
        CHECK_FALSE(integer_member(tree.root(), "a"));
        CHECK(json_object_get_double_member(tree.root(), "a") == Approx(std::stod(number)));
        CHECK(string_member(tree.root(), "c") == std::string(number));
    }
    const json_tree limits(
        R"({"a":9223372036854775807,"b":-9223372036854775808,"c":99999999999999999999.5,"d":99999999999999999999e1})");
    REQUIRE(limits.errors().empty());
    CHECK(integer_member(limits.root(), "a") == std::numeric_limits<std::int64_t>::max());
    CHECK(integer_member(limits.root(), "b") == std::numeric_limits<std::int64_t>::min());
    CHECK(json_object_get_double_member(limits.root(), "c") == Approx(1e20));
    CHECK(json_object_get_double_member(limits.root(), "d") == Approx(1e21));
}
