#include "camphorstack/links/memory_account.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

TEST_CASE("a part of the memory account has room up to its limit", "[memory-account]") {
    memory_account account{100, {}};
    SECTION("an unused part takes one charge of any size") {
        CHECK(has_room(account, memory_part::input, 1000));
        change_charge(account, memory_part::input, 0, 1000);
        CHECK_FALSE(has_room(account, memory_part::input, 1));
        CHECK_FALSE(has_room(account, memory_part::input, 0));
    }
    SECTION("a used part takes charges up to the limit") {
        change_charge(account, memory_part::output, 0, 60);
        CHECK(has_room(account, memory_part::output, 40));
        CHECK_FALSE(has_room(account, memory_part::output, 41));
        change_charge(account, memory_part::output, 60, 10);
        CHECK(used_memory(account, memory_part::output) == 10);
        CHECK(has_room(account, memory_part::output, 90));
    }
    SECTION("parts do not share their room") {
        change_charge(account, memory_part::statements, 0, 100);
        CHECK(has_room(account, memory_part::sessions, 100));
    }
}

TEST_CASE("each part gets the same share of the memory that is left for callers", "[memory-account]") {
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    CHECK(memory_part_limit(64 * mebibyte) == 8 * mebibyte);
    CHECK(memory_part_limit(160 * mebibyte) == 32 * mebibyte);
    CHECK(memory_part_limit(1) == 4 * mebibyte);
}
