#include "camphorstack/cli/fleet_status.hpp"

#include <catch2/catch.hpp>

#include "camphorstack/cli/fleet_explanation.hpp"
#include "camphorstack/document/json_tree.hpp"

using namespace camphorstack;

namespace {

std::string page(const std::string& id, int version, const std::string& duty, int admitted) {
    return R"({"id": ")" + id + R"(", "data_centre": "amman-a", "version": )" + std::to_string(version) +
           R"(, "members_epoch": 2, "serving": "recent", "leaving": false,
        "hosts": [{"id": "a", "address": "127.0.0.1:1", "http_address": "127.0.0.1:11", "data_centre": "amman-a", "state": "alive"},
                  {"id": "b", "address": "127.0.0.1:2", "http_address": "127.0.0.1:12", "data_centre": "amman-a", "state": "suspect"},
                  {"id": "c", "address": "127.0.0.1:3", "http_address": "127.0.0.1:13", "data_centre": "irbid-a", "state": "dead"}],
        "data_centres": [{"id": "amman-a", "region": "north", "state": "in"}],
        "databases": [{"id": "s", "owner": "a", "standby": "b", "duty": ")" +
           duty + R"(", "in_flight": 3, "endpoints": [{"id": "s-1", "reachable": true, "role": "primary", "term": 4,
            "position": {"term": 4, "index": 99}, "replication_age_ms": 12, "open_connections": 5}]}],
        "workspaces": [{"id": "w", "rate_per_s": 100, "burst": 20, "admitted": )" +
           std::to_string(admitted) + R"(, "refused": {"over_rate": 2}}]})";
}

fleet_host host(const std::string& id, const std::string& state, std::optional<host_status> status, const std::string& fault) {
    return {{{id, "", "127.0.0.1:1", "amman-a"}, state}, std::move(status), fault};
}

std::vector<fleet_host> sample_fleet() {
    return {host("b", "suspect", parse_host_status(page("b", 6, "standby", 5)), ""),
            host("a", "alive", parse_host_status(page("a", 7, "owner", 10)), ""), host("c", "dead", std::nullopt, "no answer"),
            host("d", "alive", std::nullopt, "no answer")};
}

}  // namespace

TEST_CASE("status pages of all hosts are merged", "[status]") {
    const auto merged = merge_status(sample_fleet());
    REQUIRE(merged.databases.size() == 1);
    CHECK(merged.databases[0].seen_by == "a");
    CHECK(merged.databases[0].status.endpoints[0].position == log_position{4, 99});
    CHECK(merged.workspaces == std::vector<workspace_status>{{"w", 100, 20, 15, {{"over_rate", 4}}}});
    CHECK(merged.hosts[0].listed.subject.id == "a");
    const auto text = format_status(merged);
    CHECK_THAT(text, Catch::Contains("a     amman-a      alive    7        yes"));
    CHECK_THAT(text, Catch::Contains("d     amman-a      alive    ?        no answer"));
    CHECK_THAT(text, Catch::Contains("s         s-1       primary  4     4/99      12ms  5            a      b"));
    CHECK_THAT(text, Catch::Contains("w          100     20     15        over_rate=4"));
    const auto json = format_status_json(merged);
    const json_tree tree{json};
    CHECK(tree.errors().empty());
    CHECK_THAT(json, Catch::Contains(R"("admitted":15,"refused":{"over_rate":4})"));
}

// Guards against hiding that two hosts both act as owner.
TEST_CASE("two hosts that report to own a database are both shown", "[status]") {
    const auto merged = merge_status({host("a", "alive", parse_host_status(page("a", 7, "owner", 1)), ""),
                                      host("b", "alive", parse_host_status(page("b", 7, "owner", 1)), "")});
    REQUIRE(merged.databases.size() == 2);
    CHECK(merged.databases[1].seen_by == "b");
}

TEST_CASE("the first host is queried again at the address that answered", "[status]") {
    const auto listed = hosts_to_query(*parse_host_status(page("b", 6, "standby", 5)), "127.0.0.1:99");
    REQUIRE(listed.size() == 3);
    CHECK(listed[0].subject.http_address == "127.0.0.1:11");
    CHECK(listed[1].subject.http_address == "127.0.0.1:99");
    CHECK(listed[1].state == "suspect");
    CHECK(hosts_to_query(*parse_host_status(R"({"id": "x"})"), "127.0.0.1:99").size() == 1);
}

// Guards against reporting a version as in force while a live host has an older one or does not answer.
TEST_CASE("hosts that lag are named, dead ones only while they may have evidence", "[status][configuration-in-force]") {
    CHECK(lagging_hosts(sample_fleet(), 7, millis{2001}) == std::vector<std::string>{"b (version 6)", "d (no answer)"});
    CHECK(lagging_hosts(sample_fleet(), 6, millis{2001}) == std::vector<std::string>{"d (no answer)"});
    CHECK(lagging_hosts(sample_fleet(), 6, millis{2000}) == std::vector<std::string>{"c (no answer)", "d (no answer)"});
    CHECK(dead_hosts(sample_fleet()) == std::vector<host_id>{"c"});
}

// Guards against zeros in the table when hosts write the position as two members, as links/report_json does.
TEST_CASE("both forms of an endpoint's position are read", "[status]") {
    const auto read = parse_host_status(R"({"id": "a", "databases": [{"id": "s", "endpoints": [
        {"id": "s-1", "position_term": 4, "position_index": 99, "connections": 5}]}]})");
    REQUIRE(read);
    CHECK(read->databases[0].endpoints[0].position == log_position{4, 99});
    CHECK(read->databases[0].endpoints[0].open_connections == 5);
}

TEST_CASE("a page that is not a status page is not read", "[status]") {
    CHECK_FALSE(parse_host_status(""));
    CHECK_FALSE(parse_host_status("[1]"));
    CHECK_FALSE(parse_host_status(R"({"id": 5})"));
    CHECK(parse_host_status(R"({"id": "a", "hosts": [5], "databases": {}, "version": -1})")->version == 0);
}

TEST_CASE("decisions of all hosts are shown oldest first", "[explain]") {
    const auto a = parse_host_explanation(
        R"({"id": "a", "decisions": [{"at_ms": 5, "age_ms": 900, "kind": "promotion", "subject": "s", "observations": "term=4"},
            {"at_ms": 9, "age_ms": 100, "kind": "drain", "subject": "s", "observations": ""}], "refused": {"over_rate": 2}})");
    const auto b = parse_host_explanation(
        R"({"id": "b", "decisions": [{"at_ms": 70000, "age_ms": 500, "kind": "owner_moved", "subject": "s", "observations": "x=1"}],
            "refused": {"over_rate": 1, "queue_full": 3}})");
    const auto merged = merge_explanations({*a, *b}, {"c (no answer)"}, 10);
    REQUIRE(merged.decisions.size() == 3);
    CHECK(merged.decisions[0].kind == "promotion");
    CHECK(merged.decisions[1].host == "b");
    CHECK(merged.refused == std::map<std::string, std::uint64_t>{{"over_rate", 3}, {"queue_full", 3}});
    CHECK(merge_explanations({*a, *b}, {}, 1).decisions.front().kind == "drain");
    CHECK_THAT(format_explanation(merged), Catch::Contains("900ms  a     promotion    s        term=4") &&
                                               Catch::Contains("refused: over_rate=3 queue_full=3\nno answer: c (no answer)"));
    CHECK_THAT(format_explanation_json(merged), Catch::Contains(R"x("no_answer":["c (no answer)"])x"));
}
