#include "camphorstack/support/clock.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;
using namespace camphorstack::literals;

TEST_CASE("arithmetic on instants and durations is in milliseconds", "[clock]") {
    const instant start{1000};
    CHECK(start + 2_s == instant{3000});
    CHECK((start + 50_ms) - start == 50_ms);
    CHECK(start < start + 1_ms);
}

TEST_CASE("the monotonic clock does not go back", "[clock]") {
    const monotonic_clock source;
    const auto first = source.now();
    CHECK(source.now() >= first);
}
