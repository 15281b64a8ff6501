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

// Guards against json-glib's reading of such a string up to that character only.
TEST_CASE("a string with a NUL or with U+FDD0 is read and written whole", "[json][odd-names]") {
    for (const std::string text :
         {R"("a\u0000b")", R"("\u0000")", R"("\ufdd0")", R"("\ufdd00000\u0000")", R"("\\u0000")", R"("a\n\u0001")"}) {
        CAPTURE(text);
        const json_tree tree("{\"a\":" + text + "}");
        REQUIRE(tree.errors().empty());
        const auto value = string_member(tree.root(), "a");
        REQUIRE(value);
        CHECK(to_json_text(json_object_get_member(tree.root(), "a")) == text);
        json_writer written;
        written.begin_object().field("a", *value).end_object();
        CHECK(written.text() == "{\"a\":" + text + "}");
    }
    CHECK(string_member(json_tree(R"({"a":"x\u0000y"})").root(), "a") == std::string("x\0y", 3));
    CHECK(string_member(json_tree("{\"a\":\"\xef\xb7\x90"
                                  "0000\"}")
                            .root(),
                        "a") ==
          "\xef\xb7\x90"
          "0000");
    CHECK_FALSE(string_member(json_tree(R"({"a\u0000":"x"})").root(), "a"));
    for (const auto* text : {R"({"a":"x\000y"})", R"({"a":"x\0"})", R"({"a":"\x00"})", R"({"a\0":"x"})", R"({"a":"\U0000"})"}) {
        CAPTURE(text);
        CHECK_FALSE(json_tree(text).errors().empty());
    }
}

TEST_CASE("a string with a lone surrogate is no text and is written unchanged", "[json][odd-names]") {
    for (const std::string text : {R"("\ud83dx")", R"("x\udc00")", R"("\ud800\ud800")", R"("\ud83d\n")"}) {
        CAPTURE(text);
        const json_tree tree("{\"a\":" + text + ",\"b\":7}");
        REQUIRE(tree.errors().empty());
        CHECK_FALSE(string_member(tree.root(), "a"));
        CHECK(integer_member(tree.root(), "b") == 7);
        CHECK(to_json_text(json_object_get_member(tree.root(), "a")) == text);
    }
    CHECK(string_member(json_tree(R"({"a":"\ud83d\ude00"})").root(), "a") == "😀");
}
