#include "camphorstack/cli/apply_decision.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "camphorstack/document/document_file.hpp"
#include "document/sample_document.hpp"
#include "stand_ins/platform_model.hpp"

using namespace camphorstack;

namespace {

const std::string rate_70 = R"({"limits": [{"workspace": "cashiers", "rate_per_s": 70, "burst": 7}]})";
const std::string rate_90 = R"({"limits": [{"workspace": "cashiers", "rate_per_s": 90, "burst": 9}]})";

/// Faults of one call to the platform.
struct call_fault {
    bool lose_call = false;                       ///< The call does not reach the platform.
    bool lose_answer = false;                     ///< The call takes effect, but its answer is lost.
    std::function<void()> before_call = nullptr;  ///< Changes of other operators just before the call.
    std::function<void()> after_call = nullptr;   ///< Changes of other operators just after the call.
};

/// A platform with one document, injected faults and changes by other operators.
struct fake_platform {
    stand_ins::platform_model model;
    std::map<int, call_fault> faults;  ///< By the number of the call, from 1.

    fake_platform() { this->model.objects["document"] = {4, sample_document()}; }

    [[nodiscard]] const stand_ins::stored_object& stored() const { return this->model.objects.at("document"); }

    /// Another operator's change, without any fault.
    void change(const std::string& section, const std::string& content, const std::string& id) {
        auto& object = this->model.objects["document"];
        object.value = merge_section(object.value, object.version, {section, content, object.version, id});
        ++object.version;
    }

    platform_answer run(const platform_call& call) {
        const auto fault = this->faults[static_cast<int>(call.id)];
        if (fault.before_call) {
            fault.before_call();
        }
        auto answer = fault.lose_call ? platform_answer{} : *stand_ins::run_call(this->model, 0, call, instant{});
        if (fault.after_call) {
            fault.after_call();
        }
        return fault.lose_answer ? platform_answer{} : answer;
    }
};

apply_result apply(fake_platform& platform, apply_state state) {
    auto action = start_apply(state);
    while (const auto* call = std::get_if<platform_call>(&action)) {
        action = continue_apply(state, platform.run(*call));
    }
    return std::get<apply_result>(action);
}

apply_state make_apply_state(std::optional<document_version> read_version = 4) {
    apply_state state;
    state.change = {"capacity", rate_70, 0, "mine"};
    state.read_version = read_version;
    return state;
}

std::int64_t rate_in(const fake_platform& platform) {
    return parse_document(platform.stored().value, platform.stored().version).workspaces[0].rate_per_s;
}

const sample_sections sections;

}  // namespace

TEST_CASE("a change is accepted at the next version", "[apply][configuration-in-force]") {
    fake_platform platform;
    CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 5, ""});
    CHECK(rate_in(platform) == 70);
    CHECK(apply(platform, make_apply_state(std::nullopt)).outcome == apply_outcome::accepted);
}

TEST_CASE("the first change creates the document", "[apply]") {
    fake_platform platform;
    platform.model.objects.clear();
    auto state = make_apply_state(std::nullopt);
    state.change = {"data_centres", sections.data_centres, 0, "mine"};
    CHECK(apply(platform, state) == apply_result{apply_outcome::accepted, 1, ""});
}

// Guards against refusing a change because changes of other sections came first, once or twice in a row.
TEST_CASE("racing changes of other sections merge", "[apply][configuration-in-force]") {
    fake_platform platform;
    platform.faults[2].before_call = [&] { platform.change("tenancy", sections.tenancy, "other-1"); };
    platform.faults[3].before_call = [&] { platform.change("databases", sections.databases, "other-2"); };
    CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 7, ""});
    CHECK(find_section(platform.stored().value, "tenancy")->change_id == "other-1");
    CHECK(find_section(platform.stored().value, "databases")->change_id == "other-2");
}

TEST_CASE("a racing change of the same section is a conflict that names both versions", "[apply][configuration-in-force]") {
    fake_platform platform;
    platform.faults[2].before_call = [&] { platform.change("capacity", rate_90, "other"); };
    const auto result = apply(platform, make_apply_state());
    CHECK(result.outcome == apply_outcome::conflict);
    CHECK(result.text == "section capacity was read at version 4 but last changed at version 5");
    CHECK(rate_in(platform) == 90);
}

TEST_CASE("an older read version is a conflict at once", "[apply]") {
    fake_platform platform;
    CHECK(apply(platform, make_apply_state(3)).outcome == apply_outcome::conflict);
    CHECK(platform.stored().version == 4);
}

// Guards against reporting a change as failed, or making it twice, when only the answer was lost.
TEST_CASE("a lost answer is settled by reading again", "[apply][configuration-in-force]") {
    fake_platform platform;
    platform.faults[2].lose_answer = true;
    SECTION("once") {
        CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 5, ""});
        CHECK(platform.stored().version == 5);
    }
    SECTION("twice in a row, and the call that follows is lost as well") {
        platform.faults[3].lose_answer = true;
        platform.faults[4].lose_call = true;
        CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 5, ""});
        CHECK(platform.stored().version == 5);
    }
    SECTION("after another section changed, the version of this change is reported") {
        platform.faults[2].after_call = [&] { platform.change("tenancy", sections.tenancy, "other"); };
        CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 5, ""});
        CHECK(platform.stored().version == 6);
    }
    SECTION("when another operator has replaced the change since, the outcome is unknown") {
        platform.faults[2].after_call = [&] { platform.change("capacity", rate_90, "other"); };
        const auto result = apply(platform, make_apply_state());
        CHECK(result.outcome == apply_outcome::unknown);
        CHECK_THAT(result.text, Catch::Contains("version 4") && Catch::Contains("version 5") && Catch::Contains("version 6"));
        CHECK(rate_in(platform) == 90);
    }
}

TEST_CASE("a lost write that took no effect is made again", "[apply][configuration-in-force]") {
    fake_platform platform;
    platform.faults[2].lose_call = true;
    SECTION("once") {
        CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 5, ""});
    }
    SECTION("twice in a row, with another section changed in between") {
        platform.faults[2].after_call = [&] { platform.change("tenancy", sections.tenancy, "other"); };
        platform.faults[4].lose_call = true;
        CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 6, ""});
    }
    SECTION("when another operator took the version, it is a plain conflict") {
        platform.faults[2].after_call = [&] { platform.change("capacity", rate_90, "other"); };
        CHECK(apply(platform, make_apply_state()).outcome == apply_outcome::conflict);
    }
}

// Guards against reporting a conflict if the HTTP client repeats a PUT by itself and the repetition conflicts with the first PUT.
TEST_CASE("a conflict with this change itself is an acceptance", "[apply]") {
    fake_platform platform;
    platform.faults[2].before_call = [&] { platform.change("capacity", rate_70, "mine"); };
    CHECK(apply(platform, make_apply_state()) == apply_result{apply_outcome::accepted, 5, ""});
    CHECK(platform.stored().version == 5);
}

// Guards against a merge into an empty document, which would drop the other sections.
TEST_CASE("an answer without the document is read again", "[apply]") {
    auto state = make_apply_state();
    static_cast<void>(start_apply(state));
    const auto action = continue_apply(state, {1, platform_status::ok, 4, "", {}});
    REQUIRE(std::holds_alternative<platform_call>(action));
    CHECK(std::get<platform_call>(action).operation == platform_operation::read);
}

TEST_CASE("apply gives up after a bounded number of calls", "[apply]") {
    fake_platform platform;
    SECTION("without a write, nothing was changed") {
        for (int i = 1; i <= max_apply_calls; ++i) {
            platform.faults[i].lose_call = true;
        }
        CHECK(apply(platform, make_apply_state()).outcome == apply_outcome::unreachable);
    }
    SECTION("after a lost write, the outcome is unknown and the change id is named") {
        for (int i = 2; i <= max_apply_calls; ++i) {
            platform.faults[i].lose_answer = true;
        }
        const auto result = apply(platform, make_apply_state());
        CHECK(result.outcome == apply_outcome::unknown);
        CHECK_THAT(result.text, Catch::Contains("change id mine") && Catch::Contains("expected version 4"));
    }
    SECTION("when other changes come first each time, nothing was changed") {
        for (int i = 1; i <= max_apply_calls; ++i) {
            platform.faults[i].before_call = [&platform, i] {
                platform.change("tenancy", sections.tenancy, "other-" + std::to_string(i));
            };
        }
        CHECK(apply(platform, make_apply_state()).outcome == apply_outcome::unreachable);
        CHECK(rate_in(platform) == 100);
    }
}

TEST_CASE("a change that makes the document invalid is refused with all errors", "[apply]") {
    fake_platform platform;
    auto state = make_apply_state();
    state.change.content = R"({"limits": [{"workspace": "nobody", "rate_per_s": 0, "burst": 1}]})";
    const auto result = apply(platform, state);
    CHECK(result.outcome == apply_outcome::invalid);
    CHECK(result.text ==
          "capacity: limits[0].rate_per_s: must be a whole number from 1 to 1000000000\n"
          "capacity: limit for unknown workspace \"nobody\"");
    CHECK(platform.stored().version == 4);
}
