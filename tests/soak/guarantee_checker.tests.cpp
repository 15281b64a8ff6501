#include "soak/guarantee_checker.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;
using namespace camphorstack::soak;

namespace {

/// A checker on a database of two instances. `run` adds a statement to the record of what the instances ran.
struct observed_database {
    session_tests::database_model model{"db", {"amman-a", "irbid-a"}};
    guarantee_checker checker{model};

    void run(const std::string& id, const endpoint_id& endpoint = "db-0") {
        this->model.runs.push_back({instant{}, endpoint, id, "w", true, {}});
    }
};

}  // namespace

TEST_CASE("the soak's checker accepts permitted outcomes", "[soak]") {
    observed_database observed;
    observed.checker.record_sent_write("w1", 1);
    observed.run("w1");
    observed.checker.record_write_answer("w1", result_code::none);
    observed.checker.record_sent_write("w2", 2);
    observed.checker.record_write_answer("w2", result_code::busy);
    observed.checker.record_sent_write("w3", 3);
    observed.run("w3");
    observed.checker.record_write_answer("w3", result_code::in_doubt);
    observed.checker.record_sent_read("r1");
    observed.run("r1");
    observed.checker.record_read_answer("r1", 3, 1, 3);
    observed.checker.observe();
    CHECK(observed.checker.violations().empty());
    CHECK(observed.checker.acknowledged() == 1);
}

TEST_CASE("the soak's checker reports each violated guarantee", "[soak]") {
    observed_database observed;
    observed.checker.record_sent_write("w1", 1);
    SECTION("a write that ran twice") {
        observed.run("w1");
        observed.run("w1");
        observed.checker.observe();
    }
    SECTION("a refused write that had run") {
        observed.run("w1");
        observed.checker.record_write_answer("w1", result_code::busy);
    }
    SECTION("a refused write that runs later") {
        observed.checker.record_write_answer("w1", result_code::aborted);
        observed.run("w1");
        observed.checker.observe();
    }
    SECTION("an acknowledged write that never ran") {
        observed.checker.record_write_answer("w1", result_code::none);
    }
    SECTION("an acknowledged write at a former primary") {
        REQUIRE(observed.model.promote("db-1"));
        observed.run("w1", "db-0");
        observed.checker.record_write_answer("w1", result_code::none);
    }
    SECTION("a statement that no caller sent") {
        observed.run("stranger");
        observed.checker.observe();
    }
    SECTION("a read that lacks an acknowledged write") {
        observed.checker.record_read_answer("r1", 0, 1, 1);
    }
    SECTION("a read of a value that no caller wrote") {
        observed.checker.record_read_answer("r1", 2, 0, 1);
    }
    CHECK(observed.checker.violations().size() == 1);
}
