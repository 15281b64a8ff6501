#include <catch2/catch.hpp>
#include <random>

#include "camphorstack/document/json_values.hpp"
#include "support/mutation.hpp"

using namespace camphorstack;

TEST_CASE("an object and an array are split into their values, whatever these contain", "[json]") {
    const std::string text = R"( {"a" : [1,{"x":"}],"}] , "b":"q\"," ,"c":nonsense,"d":{"e":[)" + std::string(70, '[') +
                             std::string(70, ']') + "]} }\n";
    const auto members = split_json_object(text);
    REQUIRE(members.size() == 4);
    CHECK(members[0] == json_member_text{"a", R"([1,{"x":"}],"}])"});
    CHECK(members[1] == json_member_text{"b", R"("q\",")"});
    CHECK(members[2] == json_member_text{"c", "nonsense"});
    CHECK(members[3].name == "d");
    CHECK(split_json_array(R"([ 1, "a,b" ,{"c":[2,3]}])") == std::vector<std::string_view>{"1", R"("a,b")", R"({"c":[2,3]})"});
    CHECK(split_json_array("[]").empty());
    CHECK(split_json_array("{}").empty());
    CHECK(split_json_object("[]").empty());
    CHECK(split_json_object("").empty());
    CHECK(split_json_object(R"({7:8,"ok":9})") == std::vector<json_member_text>{{"ok", "9"}});
}

// Guards against a crash or a stack overflow for text of other writers.
TEST_CASE("text of any shape and depth is split without a fault", "[json][fuzz]") {
    CHECK(split_json_array("[" + std::string(300000, '[') + std::string(300000, ']') + "]").size() == 1);
    CHECK(split_json_array("[" + std::string(300000, '[')).empty());
    std::mt19937_64 random(11);
    const std::string seed = R"({"a":[1,"x\"y",{"b":null}],"c":"\u00e9","d":-1.5e3})";
    for (int i = 0; i < 5000; ++i) {
        const auto text = mutate(seed, "{}[]\",:\\ 0-9.eE\xc3", random);
        for (const auto& member : split_json_object(text)) {
            static_cast<void>(split_json_array(member.value));
        }
    }
}
