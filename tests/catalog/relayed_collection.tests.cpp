#include "camphorstack/catalog/relayed_collection.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

constexpr std::size_t no_limit = 1'000'000;

catalog_item object(const std::string& name, store_revision revision) {
    return {name, revision, evacuation_item{}, {}, name + "@" + std::to_string(revision)};
}

collection_update list_of(std::vector<catalog_item> items) {
    return {true, std::move(items), {}};
}

std::vector<std::string> texts_of(const collection_changes& changes) {
    std::vector<std::string> texts;
    for (const auto& item : changes.items) {
        texts.push_back(item.text);
    }
    return texts;
}

}  // namespace

TEST_CASE("a host passes on the changes after the revision that another host knows", "[catalog-relay]") {
    relayed_collection copy;
    CHECK_FALSE(changes_after(copy, 0, no_limit));
    record_update(copy, list_of({object("a", 5), object("b", 8)}), 10);
    record_update(copy, {false, {object("b", 12)}, {}}, 12);
    record_update(copy, {false, {object("c", 15)}, {"a"}}, 15);

    SECTION("a host that knows an earlier state receives objects and removals since then") {
        const auto changes = changes_after(copy, 10, no_limit);
        REQUIRE(changes);
        CHECK_FALSE(changes->complete);
        CHECK(texts_of(*changes) == std::vector<std::string>{"b@12", "c@15"});
        CHECK(changes->removed == std::vector<std::string>{"a"});
        CHECK(changes_after(copy, 15, no_limit) == collection_changes{});
    }
    SECTION("a host that knows less than the copy's first list receives everything") {
        const auto changes = changes_after(copy, 9, no_limit);
        REQUIRE(changes);
        CHECK(changes->complete);
        CHECK(texts_of(*changes) == std::vector<std::string>{"b@12", "c@15"});
    }
    SECTION("an object that was removed and written again is no removal") {
        record_update(copy, {false, {object("a", 20)}, {}}, 20);
        const auto changes = changes_after(copy, 12, no_limit);
        REQUIRE(changes);
        CHECK(changes->removed.empty());
        CHECK(texts_of(*changes) == std::vector<std::string>{"a@20", "c@15"});
    }
    SECTION("a list removes the objects that it lacks, and an older state does not replace a newer one") {
        record_update(copy, list_of({object("b", 11)}), 16);
        const auto changes = changes_after(copy, 15, no_limit);
        REQUIRE(changes);
        CHECK(changes->removed == std::vector<std::string>{"c"});
        CHECK(texts_of(*changes_after(copy, 11, no_limit)) == std::vector<std::string>{"b@12"});
    }
    SECTION("changes that are too large for a message, or an object that cannot be passed on, are left to the store") {
        CHECK_FALSE(changes_after(copy, 10, 4));
        auto unreadable = object("d", 17);
        unreadable.source.clear();
        record_update(copy, {false, {unreadable}, {}}, 17);
        CHECK_FALSE(changes_after(copy, 15, no_limit));
    }
    SECTION("a host that missed more removals than are remembered receives everything") {
        for (store_revision i = 20; i < 400; ++i) {
            record_update(copy, {false, {}, {"gone-" + std::to_string(i)}}, i);
        }
        CHECK(changes_after(copy, 15, no_limit)->complete);
        CHECK_FALSE(changes_after(copy, 390, no_limit)->complete);
    }
}
