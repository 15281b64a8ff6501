#include <catch2/catch.hpp>

#include "endpoints/group_bench.hpp"

using namespace camphorstack;
using namespace camphorstack::tests;

namespace {

database_request make(request_kind kind, const std::string& statement) {
    database_request request;
    request.kind = kind;
    request.statement = statement;
    return request;
}

}  // namespace

TEST_CASE("a group that never had a primary gets one and runs requests", "[group]") {
    group_bench bench({});
    const auto written = bench.call(0, make(request_kind::write, "PUT a 1"));
    CHECK(written.outcome == request_outcome::done);
    CHECK(written.body == "1");
    CHECK(bench.now < instant{2000});
    auto read = make(request_kind::read, "GET a");
    read.session = written.session;
    const auto found = bench.call(0, read);
    CHECK(found.outcome == request_outcome::done);
    CHECK(found.body == "1");
    CHECK(found.served_by != written.served_by);
}
