#include "soak/guarantee_checker.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;
using namespace camphorstack::soak;

namespace {

/// A database of two instances whose first one has run a write, as an instance's own record shows it.
struct observed_database {
    session_tests::database_model model{"db", {"amman-a", "irbid-a"}};
    guarantee_checker checker{model};

    void run(const std::string& id, const endpoint_id& endpoint = "db-0") {
        this->model.runs.push_back({instant{}, endpoint, id, "w", true, {}});
    }
};

}  // namespace

TEST_CASE("the soak's checker passes what is allowed", "[soak]") {
    observed_database seen;
    seen.checker.record_sent_write("w1", 1);
    seen.run("w1");
    seen.checker.record_write_answer("w1", result_code::none);
    seen.checker.record_sent_write("w2", 2);
    seen.checker.record_write_answer("w2", result_code::busy);
    seen.checker.record_sent_write("w3", 3);
    seen.run("w3");
    seen.checker.record_write_answer("w3", result_code::in_doubt);
    seen.checker.record_sent_read("r1");
    seen.run("r1");
    seen.checker.record_read_answer("r1", 3, 1, 3);
    seen.checker.observe();
    CHECK(seen.checker.violations().empty());
    CHECK(seen.checker.acknowledged() == 1);
}

TEST_CASE("the soak's checker reports each broken promise", "[soak]") {
    observed_database seen;
    seen.checker.record_sent_write("w1", 1);
    SECTION("a write that ran twice") {
        seen.run("w1");
        seen.run("w1");
        seen.checker.observe();
    }
    SECTION("a refused write that had run") {
        seen.run("w1");
        seen.checker.record_write_answer("w1", result_code::busy);
    }
    SECTION("a refused write that runs later") {
        seen.checker.record_write_answer("w1", result_code::aborted);
        seen.run("w1");
        seen.checker.observe();
    }
    SECTION("an acknowledged write that never ran") {
        seen.checker.record_write_answer("w1", result_code::none);
    }
    SECTION("an acknowledged write at a former primary") {
        REQUIRE(seen.model.promote("db-1"));
        seen.run("w1", "db-0");
        seen.checker.record_write_answer("w1", result_code::none);
    }
    SECTION("a statement that nobody sent") {
        seen.run("stranger");
        seen.checker.observe();
    }
    SECTION("a read that lacks an acknowledged write") {
        seen.checker.record_read_answer("r1", 0, 1, 1);
    }
    SECTION("a read of what nobody wrote") {
        seen.checker.record_read_answer("r1", 2, 0, 1);
    }
    CHECK(seen.checker.violations().size() == 1);
}
