#include <catch2/catch.hpp>

#include "camphorstack/document/document_file.hpp"
#include "camphorstack/document/document_store.hpp"
#include "camphorstack/document/sections.hpp"
#include "document/sample_document.hpp"

using namespace camphorstack;

namespace {

const std::string other_rate = R"({"limits": [{"workspace": "cashiers", "rate_per_s": 70, "burst": 7}]})";

}  // namespace

TEST_CASE("sections are added one by one to an empty document", "[document][configuration-in-force]") {
    const sample_sections sections;
    std::string text = merge_section("", 0, {"data_centres", sections.data_centres, 0, "c1"});
    text = merge_section(text, 1, {"databases", sections.databases, 0, "c2"});
    text = merge_section(text, 2, {"tenancy", sections.tenancy, 0, "c3"});
    text = merge_section(text, 3, {"capacity", sections.capacity, 0, "c4"});
    CHECK(parse_document(text, 4) == parse_document(sample_document(), 4));
    CHECK(find_section(text, "tenancy")->version == 3);
    CHECK(find_section(text, "tenancy")->change_id == "c3");
}

// Guards against a team's change that is lost because another team changed its own section.
TEST_CASE("a change merges with newer changes of other sections", "[document][configuration-in-force]") {
    const auto text = merge_section(sample_document(), 9, {"capacity", other_rate, 4, "mine"});
    const auto content = parse_document(text, 10);
    CHECK(content.workspaces[0].rate_per_s == 70);
    CHECK(content.workspaces[0].keys.size() == 1);
    CHECK(find_section(text, "capacity")->version == 10);
    CHECK(find_section(text, "tenancy")->version == 3);
    CHECK(is_last_change(text, "capacity", "mine"));
    CHECK_FALSE(is_last_change(text, "capacity", "c4"));
    CHECK_FALSE(is_last_change(text, "tenancy", "mine"));
    CHECK_FALSE(is_last_change("", "tenancy", "mine"));
}

// Guards against one operator who silently replaces another one's change of the same section.
TEST_CASE("a change of a section that changed since it was read names both versions", "[document][configuration-in-force]") {
    try {
        static_cast<void>(merge_section(sample_document(), 9, {"capacity", other_rate, 3, "mine"}));
        FAIL("the conflict was not noticed");
    } catch (const section_conflict& conflict) {
        CHECK(conflict.read_version == 3);
        CHECK(conflict.current_version == 4);
        CHECK(std::string{conflict.what()} == "section capacity was read at version 3 but last changed at version 4");
    }
    CHECK_THROWS_AS(merge_section(sample_document(), 9, {"capacity", other_rate, 10, "mine"}), section_conflict);
    CHECK_NOTHROW(merge_section(sample_document(), 9, {"capacity", other_rate, 9, "mine"}));
}

TEST_CASE("a merge whose result is not valid is refused", "[document]") {
    CHECK_THROWS_WITH(merge_section(sample_document(), 9, {"data_centres", "{}", 1, "mine"}),
                      "databases: endpoint \"serials-1-a\" is in unknown data centre \"amman-a\"\n"
                      "databases: endpoint \"serials-1-b\" is in unknown data centre \"irbid-a\"");
    CHECK_THROWS_WITH(merge_section(sample_document(), 9, {"colours", "{}", 1, "mine"}), "colours: unknown section");
    CHECK_THROWS_WITH(merge_section(sample_document(), 9, {"capacity", "{}", 4, ""}), "capacity: the change has no id");
    CHECK_THROWS_WITH(merge_section(sample_document(), 9, {"capacity", "{\n\"limits\": [{\n\"a\": 1}]}", 4, "mine"}),
                      Catch::Contains("capacity:2: limits[0].workspace: is missing") &&
                          Catch::Contains("capacity:2: limits[0].a: unknown field"));
    CHECK_THROWS_AS(merge_section("{", 9, {"capacity", other_rate, 4, "mine"}), document_error);
}

// Guards against a merge whose text the platform would refuse for its size.
TEST_CASE("a merge of more than 1 MB is refused", "[document]") {
    std::string limits;
    std::string workspaces;
    for (int i = 0; i < 15'000; ++i) {
        const auto id = std::to_string(i);
        limits += (i == 0 ? "" : ",") + std::string{R"({"workspace":"w)"} + id + R"(","rate_per_s":1000,"burst":100})";
        workspaces += (i == 0 ? "" : ",") + std::string{R"({"id":"w)"} + id + "\"}";
    }
    const auto text = merge_section("", 0, {"tenancy", "{\"workspaces\":[" + workspaces + "]}", 0, "c1"});
    CHECK_THROWS_WITH(merge_section(text, 1, {"capacity", "{\"limits\":[" + limits + "]}", 0, "c2"}),
                      Catch::Contains("more than 1000000"));
}

TEST_CASE("the store keeps the newest valid document", "[document][configuration-in-force]") {
    document_store store;
    CHECK(accept_document(store, sample_document(), 5));
    SECTION("a newer document replaces it") {
        CHECK(accept_document(store, R"({"sections": {}})", 6));
        CHECK(store.version == 6);
        CHECK(store.content->workspaces.empty());
        CHECK(store.text == R"({"sections": {}})");
    }
    // Guards against a late answer of the platform or of a peer that takes an accepted change back.
    SECTION("an older or equal version is ignored") {
        CHECK_FALSE(accept_document(store, R"({"sections": {}})", 4));
        CHECK_FALSE(accept_document(store, R"({"sections": {}})", 5));
        CHECK(store.version == 5);
        CHECK(store.content->workspaces.size() == 2);
    }
    SECTION("text that does not parse is refused and its errors are kept") {
        CHECK_FALSE(accept_document(store, "{}", 6));
        CHECK(store.version == 5);
        CHECK(store.content->version == 5);
        CHECK(store.rejected_version == 6);
        CHECK(store.rejection_errors == "document: sections: is missing");
    }
}

TEST_CASE("member lists and term records survive writing and reading", "[document]") {
    const std::vector<member> hosts{{"amman-1", "127.0.0.1:7101", "127.0.0.1:7201", "amman-a"},
                                    {"irbid-1", "127.0.0.1:7102", "127.0.0.1:7202", "irbid-a"}};
    CHECK(parse_members(format_members(hosts)) == hosts);
    CHECK(parse_members(format_members({})).empty());
    CHECK_THROWS_WITH(parse_members("{}"), "members: hosts: is missing");
    CHECK_THROWS_AS(parse_members(R"({"hosts": [{"id": "a", "address": "b", "http_address": "c", "data_centre": "d"}]})"),
                    document_error);
    const term_record record{7, "amman-1/3"};
    CHECK(parse_term_record(format_term_record(record)) == record);
    CHECK_THROWS_WITH(parse_term_record(R"({"last_term": -1})"),
                      "terms: last_term: must be a whole number from 0 to 9223372036854775807");
}
