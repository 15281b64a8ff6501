#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "camphorstack/cli/apply_decision.hpp"
#include "camphorstack/document/document_file.hpp"
#include "document/sample_document.hpp"
#include "stand_ins/platform_model.hpp"

using namespace camphorstack;

namespace {

struct racing_operator {
    apply_state state;
    apply_action next;
};

/// Operators whose calls are interleaved at random; calls and answers are lost at random.
struct race {
    explicit race(std::uint64_t seed) : random(seed) {
        this->model.objects["document"] = {4, sample_document()};
        const sample_sections sections;
        this->add("capacity", sections.capacity, "a");
        this->add("capacity", R"({"limits": []})", "b");
        this->add("tenancy", sections.tenancy, "c");
        this->add("databases", sections.databases, "d");
    }

    void add(const std::string& section, const std::string& content, const std::string& id) {
        racing_operator entry;
        entry.state.change = {section, content, 0, id};
        entry.next = start_apply(entry.state);
        this->operators.push_back(std::move(entry));
    }

    void run() {
        const auto is_busy = [](const auto& entry) { return std::holds_alternative<platform_call>(entry.next); };
        while (std::ranges::any_of(this->operators, is_busy)) {
            auto& chosen = this->operators[this->random() % this->operators.size()];
            if (is_busy(chosen)) {
                this->step(chosen);
            }
        }
    }

    void step(racing_operator& chosen) {
        const auto call = std::get<platform_call>(chosen.next);
        const auto random_fault = this->random() % 10;
        platform_answer answer;
        if (random_fault != 0) {
            answer = *stand_ins::run_call(this->model, 0, call, instant{});
            if (call.operation == platform_operation::write && answer.status == platform_status::ok) {
                this->effects[chosen.state.change.change_id].insert(answer.version);
            }
        }
        chosen.next = continue_apply(chosen.state, random_fault <= 2 ? platform_answer{} : answer);
    }

    std::mt19937_64 random;
    stand_ins::platform_model model;
    std::vector<racing_operator> operators;
    std::map<std::string, std::set<document_version>> effects;  ///< Document versions that each change made at the platform.
};

}  // namespace

// Guards against a change that is made twice, reported as accepted without being made, or reported as not made although it was.
TEST_CASE("results reported to racing operators are correct under lost calls and answers", "[apply][configuration-in-force]") {
    std::map<apply_outcome, int> outcome_counts;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        race simulation{seed};
        simulation.run();
        for (const auto& entry : simulation.operators) {
            const auto& result = std::get<apply_result>(entry.next);
            const auto& effects = simulation.effects[entry.state.change.change_id];
            INFO("seed " << seed << " change " << entry.state.change.change_id << " " << result.text);
            ++outcome_counts[result.outcome];
            CHECK(effects.size() <= 1);
            if (result.outcome == apply_outcome::accepted) {
                CHECK(effects == std::set<document_version>{result.version});
            } else if (result.outcome != apply_outcome::unknown) {
                CHECK(effects.empty());
            }
        }
        CHECK_NOTHROW(parse_document(simulation.model.objects["document"].value, 1));
    }
    CHECK(outcome_counts[apply_outcome::accepted] > 1000);
    CHECK(outcome_counts[apply_outcome::conflict] > 25);
    CHECK(outcome_counts[apply_outcome::unknown] > 0);
    CHECK(outcome_counts[apply_outcome::unknown] < 100);
    INFO("accepted " << outcome_counts[apply_outcome::accepted] << " conflict " << outcome_counts[apply_outcome::conflict]
                     << " unknown " << outcome_counts[apply_outcome::unknown]);
    CHECK(outcome_counts[apply_outcome::invalid] == 0);
}
