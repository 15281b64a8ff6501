#include "camphorstack/cli/request_trace.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

const process_log entry_log{
    "a.log",
    "t=1000 event=store_lost collection=fleet\n"
    "t=9000 event=peer_lost host=b\n"
    "t=9500 event=leader_adopted database=db1 endpoint=i-1 phase=changing planned=no round=2\n"
    "t=9600 event=leader_adopted database=db2 endpoint=i-9 phase=serving planned=no round=1\n"
    "t=9700 event=request_done request=other workspace=w database=route service=db1 endpoint=i-1 host=b\n"
    "t=10000 event=request_failed request=4b8d workspace=w database=route service=db1 endpoint=i-1 host=b "
    "round=1 tried=0 ms=12 code=in_doubt reason=\"the link broke\"\n"
    "t=10400 event=leader_adopted database=db1 endpoint=i-2 phase=serving planned=no round=3\n"
    "t=20000 event=peer_regained host=b\n"};
const process_log unrelated_log{"c.log", "t=10 event=peer_lost host=b\nnot a line of ours\n"};

}  // namespace

TEST_CASE("a request's trace holds its own lines and its host's state changes around them", "[explain][request-story]") {
    const auto trace = trace_request({entry_log, unrelated_log}, "4b8d");
    REQUIRE(trace.size() == 4);
    CHECK_THAT(trace[0].text, Catch::Contains("event=peer_lost"));
    CHECK_THAT(trace[1].text, Catch::Contains("phase=changing"));
    CHECK((trace[2].is_request && trace[2].log == "a.log"));
    CHECK_THAT(trace[3].text, Catch::Contains("endpoint=i-2"));
    CHECK(format_trace(trace).starts_with("a.log:\n  t=9000 event=peer_lost host=b\n"));
    CHECK_THAT(format_trace(trace), Catch::Contains("> t=10000 event=request_failed"));
}

TEST_CASE("a request that no log names has no trace, and parts of ids do not match", "[explain][request-story]") {
    CHECK(trace_request({entry_log, unrelated_log}, "4b8").empty());
    CHECK(trace_request({entry_log, unrelated_log}, "8d").empty());
    CHECK(trace_request({}, "4b8d").empty());
    CHECK(format_trace({}).empty());
}

TEST_CASE("lines with a log collector's prefix are parsed", "[explain][request-story]") {
    const process_log collected{
        "j",
        "Dec 04 14:00:01 front-1 camphorstack[7]: t=50 event=serving_stopped document=9 evidence_ms=3901\n"
        "Dec 04 14:00:01 front-1 camphorstack[7]: t=60 event=request_failed request=77 code=busy\n"};
    CHECK(trace_request({collected}, "77").size() == 2);
}

TEST_CASE("a refused request's trace tells which newer document its host had heard of", "[explain][request-story]") {
    const process_log log{
        "b.log",
        "t=100 event=change_reported collection=document from=a change=90 known=80\n"
        "t=700 event=change_not_relayed collection=document waited_ms=600\n"
        "t=800 event=access_refused request=9f database=route code=busy document=4 evidence_ms=2100 behind_ms=700\n"
        "t=900 event=document_adopted version=5 previous=4 evidence_ms=12 behind_ms=800\n"};
    const auto trace = trace_request({log}, "9f");
    REQUIRE(trace.size() == 4);
    CHECK_THAT(trace[0].text, Catch::Contains("change=90"));
    CHECK_THAT(trace[1].text, Catch::Contains("waited_ms=600"));
    CHECK_THAT(trace[3].text, Catch::Contains("version=5"));
}

// Guards against a request's story that holds lines of other requests, because a reason quotes the request's id or database.
TEST_CASE("fields quoted in a reason are not fields of the line", "[explain][request-story][log-fields]") {
    const process_log log{
        "d.log",
        "t=100 event=request_failed request=77 service=db1 endpoint=i-1 code=failed reason=\"said \\\" request=88 \"\n"
        "t=110 event=object_unreadable object=x reason=\"no request=77 and database=db1 here\"\n"
        "t=120 event=leader_adopted database=db1 endpoint=i-2\n"};
    CHECK(trace_request({log}, "88").empty());
    const auto trace = trace_request({log}, "77");
    REQUIRE(trace.size() == 2);
    CHECK(trace[0].is_request);
    CHECK_THAT(trace[1].text, Catch::Contains("endpoint=i-2"));
}
