#include "stand_ins/platform_model.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;
using namespace camphorstack::stand_ins;

namespace {

platform_call write_call(std::uint64_t expected, std::string value) {
    return {1, platform_operation::write, "document", expected, std::move(value)};
}

}  // namespace

TEST_CASE("a conditional write takes effect only at its expected version", "[platform_model]") {
    platform_model platform;
    CHECK(run_call(platform, 0, write_call(0, "{}"), instant{}) == platform_answer{1, platform_status::ok, 1, "", {}});
    CHECK(run_call(platform, 0, write_call(0, "[]"), instant{}) == platform_answer{1, platform_status::conflict, 1, "{}", {}});
    CHECK(run_call(platform, 0, write_call(1, "[]"), instant{})->version == 2);
    CHECK(platform.calls[platform_operation::write] == 3);
}

TEST_CASE("a watch stays open until a newer version or its time", "[platform_model]") {
    platform_model platform;
    const platform_call watch{7, platform_operation::watch, "document", 0, ""};
    CHECK_FALSE(run_call(platform, 3, watch, instant{}));
    CHECK(due_watches(platform, instant{9999}).empty());
    SECTION("a write answers it") {
        run_call(platform, 0, write_call(0, "{}"), instant{});
        CHECK(due_watches(platform, instant{1}) ==
              std::vector<watch_answer>{{3, platform_answer{7, platform_status::ok, 1, "{}", {}}}});
        CHECK(platform.watches.empty());
    }
    SECTION("its time answers it with the current state") {
        CHECK(due_watches(platform, instant{10000}).at(0).answer.status == platform_status::not_found);
    }
    SECTION("a caller that has gone gets no answer") {
        remove_watches(platform, 3);
        CHECK(due_watches(platform, instant{10000}).empty());
    }
}
