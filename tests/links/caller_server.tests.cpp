#include "camphorstack/links/caller_server.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "links/raw_client.hpp"

using namespace camphorstack;
using camphorstack::tests::run_until;

namespace {

const std::string good_body = R"({"route":"r","database":"d","kind":"read","statement":"SELECT 1"})";

std::string post(const std::string& path, const std::string& headers, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Caller server, with the requests that it has delivered and its metrics.
struct test_server {
    explicit test_server(caller_server_limits limits = {})
        : server(
              "127.0.0.1:0",
              {[] {
                   host_report shown;
                   shown.id = "host-a";
                   shown.workspaces.push_back({"ws", 10, 5, 3, {{"over_rate", 2}}});
                   shown.decisions.push_back({instant{5}, "promotion", "db-1", "term=2"});
                   return shown;
               },
               [this] { return this->metrics.render(); }, [this](const request_sample& sample) { this->metrics.record(sample); }},
              [this](host_event event) { this->requests.push_back(std::get<caller_request>(event)); }, limits) {}

    /// Sends one request on a new connection. Returns what has been received once the answer's headers are complete, the server
    /// has closed the connection or the request has reached the sink.
    std::string exchange(const std::string& bytes) {
        const std::size_t before = this->requests.size();
        raw_client client(this->server.bound_address());
        client.send(bytes);
        (void)run_until([&] {
            client.poll();
            return client.closed || client.received.find("\r\n\r\n") != std::string::npos || this->requests.size() != before;
        });
        client.poll();
        return client.received;
    }

    request_metrics metrics;
    std::vector<caller_request> requests;
    caller_server server;
};

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a statement reaches the sink with its fields, and its answer the caller", "[caller-server][whole-answer]") {
    test_server host;
    raw_client client(host.server.bound_address());
    client.send(post("/v1/statement", "Authorization: Bearer abc\r\n",
                     R"({"route":"r","database":"d","kind":"write","statement":"S","idempotent":true,"idempotency_key":"k",)"
                     R"("max_age_ms":70,"session":"s","timeout_ms":900})"));
    REQUIRE(run_until([&] { return host.requests.size() == 1; }));
    caller_request expected{1,
                            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                            "r",
                            "d",
                            request_kind::write,
                            true,
                            "k",
                            "S",
                            millis{70},
                            "s",
                            "",
                            millis{900}};
    CHECK(host.requests.front() == expected);
    CHECK(host.server.open_requests() == 1);
    host.server.answer({1, request_outcome::done, refusal::none, "\"rows\"\n", "s2", "", "db-a", "ws"});
    REQUIRE(client.wait_for("served_by"));
    CHECK(contains(client.received, "HTTP/1.1 200"));
    CHECK(contains(client.received, R"({"outcome":"done","reason":"none","result":"\"rows\"\n","session":"s2","transaction":"",)"
                                    R"("served_by":"db-a"})"));
    CHECK(run_until([&] { return host.server.open_requests() == 0; }));
    CHECK(contains(host.metrics.render(), R"(camphorstack_request_seconds_count{workspace="ws",kind="write"} 1)"));
}

TEST_CASE("transaction steps and statements inside a transaction keep their kind", "[caller-server][transaction-isolation]") {
    test_server host;
    const std::string transaction_body = R"({"route":"r","database":"d","session":"s","transaction":"t"})";
    host.exchange(post("/v1/begin", "", R"({"route":"r","database":"d"})"));
    host.exchange(post("/v1/commit", "", transaction_body));
    host.exchange(post("/v1/rollback", "", transaction_body));
    host.exchange(post("/v1/statement", "", R"({"route":"r","database":"d","statement":"S","transaction":"t"})"));
    REQUIRE(run_until([&] { return host.requests.size() == 4; }));
    CHECK(host.requests[0].kind == request_kind::begin);
    CHECK(host.requests[1].kind == request_kind::commit);
    CHECK(host.requests[2].kind == request_kind::rollback);
    CHECK(host.requests[3].kind == request_kind::statement);
    CHECK(host.requests[3].transaction_token == "t");
}

TEST_CASE("invalid bodies are rejected with a typed error and never reach the sink", "[caller-server][not-run-is-true]") {
    struct bad_input {
        std::string body;
        std::string error;
    };
    const auto with = [](const std::string& extra) {
        return R"({"route":"r","database":"d","kind":"read","statement":"S",)" + extra + "}";
    };
    const auto input = GENERATE_COPY(values<bad_input>({
        {"{\"route\":", "not valid JSON"},
        {"", "JSON"},
        {"[]", "JSON object"},
        {std::string(200'000, '['), "simple values"},
        {with(R"("other":1)"), "unknown field"},
        {with(R"("idempotent":"yes")"), "true or false"},
        {with(R"("max_age_ms":-1)"), "max_age_ms"},
        {with(R"("max_age_ms":1.5)"), "whole number"},
        {with(R"("timeout_ms":0)"), "timeout_ms"},
        {with(R"("timeout_ms":99999999999999999999)"), "timeout_ms"},
        {with(R"("session":null)"), "session"},
        {with(R"("session":"\u0000")"), "U+0000"},
        {with("\"session\":\"\xff\""), "UTF-8"},
        {with(std::string("\"session\":\"\0\"", 13)), "UTF-8"},
        {good_body + std::string(1, '\0'), "UTF-8"},
        {with(R"("route":"q")"), "more than once"},
        {R"({"route":"r","database":"d","kind":"erase","statement":"S"})", "kind"},
        {R"({"route":"r","database":"d","statement":"S"})", "kind"},
        {R"({"database":"d","kind":"read","statement":"S"})", "route"},
        {R"({"route":"r","database":"d","kind":"read","statement":""})", "statement"},
    }));
    test_server host;
    const std::string answer = host.exchange(post("/v1/statement", "Authorization: Bearer k\r\n", input.body));
    CAPTURE(input.body.substr(0, 80), answer);
    CHECK(contains(answer, "HTTP/1.1 400"));
    CHECK(contains(answer, R"("reason":"bad_request")"));
    CHECK(contains(answer, input.error));
    CHECK(host.requests.empty());
}

TEST_CASE("requests whose end is ambiguous are refused and their connection closed", "[caller-server][whole-answer]") {
    // Guards against request smuggling: the rest of such a body must not be taken for another caller's request.
    const std::string smuggled = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto headers = GENERATE_COPY(values<std::string>({
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding: \x0b"
        "chunked\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: 5\r\n 6\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length: 99999999999999999999\r\n",
        std::string("Content-Length: 5\0\r\n", 20),
        "X: a\rTransfer-Encoding: chunked\r\n",
    }));
    test_server host;
    raw_client client(host.server.bound_address());
    client.send("POST /v1/statement HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n0\r\n\r\n" + smuggled);
    CAPTURE(headers, client.received);
    shutdown(client.descriptor(), SHUT_WR);
    CHECK(client.wait_closed());
    CHECK_FALSE(contains(client.received, "200 OK"));
    CHECK_FALSE(contains(client.received, "camphorstack_requests_total"));
    CHECK(host.requests.empty());
}

TEST_CASE("other invalid requests get a specific status", "[caller-server]") {
    test_server host;
    CHECK(contains(host.exchange(post("/v1/statement", "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n", good_body)),
                   "HTTP/1.1 400"));
    CHECK(contains(host.exchange(post("/v1/statement", "Authorization: Basic abc\r\n", good_body)), "HTTP/1.1 401"));
    CHECK(contains(host.exchange(post("/v1/statement", "", std::string(300'000, ' '))), "HTTP/1.1 413"));
    CHECK(contains(host.exchange("POST /v1/statement HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" +
                                 std::string(300'000, ' ') + "\r\n0\r\n\r\n"),
                   "HTTP/1.1 413"));
    CHECK(contains(host.exchange(post("/v1/other", "", good_body)), "HTTP/1.1 404"));
    CHECK(contains(host.exchange("DELETE /v1/statement HTTP/1.1\r\nHost: h\r\n\r\n"), "HTTP/1.1 405"));
    CHECK(contains(host.exchange("PUT /health HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), "HTTP/1.1 405"));
    CHECK(host.requests.empty());
}

TEST_CASE("a slow sender is disconnected while an idle connection stays open", "[caller-server]") {
    caller_server_limits limits;
    limits.request_timeout = millis{200};
    test_server host(limits);
    raw_client idle(host.server.bound_address());
    raw_client slow(host.server.bound_address());
    slow.send("POST /v1/statement HTTP/1.1\r\nHo");
    raw_client slow_body(host.server.bound_address());
    slow_body.send("POST /v1/statement HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n{");
    CHECK(slow.wait_closed());
    CHECK(slow_body.wait_closed());
    idle.send("GET /health HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(idle.wait_for("200 OK"));
}

TEST_CASE("a caller that does not read its answer is disconnected", "[caller-server]") {
    // Guards against answers that stay in memory, and delay a stop, for as long as such a caller does not read.
    caller_server_limits limits;
    limits.request_timeout = millis{200};
    test_server host(limits);
    raw_client client(host.server.bound_address());
    const monotonic_clock time;
    const auto sent = time.now();
    client.send(post("/v1/statement", "", good_body));
    REQUIRE(run_until([&] { return host.requests.size() == 1; }));
    host.server.answer({1, request_outcome::done, refusal::none, std::string(16'000'000, 'x'), "", "", "", ""});
    CHECK(host.server.open_requests() == 1);
    CHECK(run_until([&] { return host.server.open_requests() == 0; }));
    CHECK(time.now() - sent >= limits.request_timeout);
}

TEST_CASE("a reply to a caller that has disconnected is dropped", "[caller-server]") {
    test_server host;
    host.exchange(post("/v1/statement", "", good_body));
    REQUIRE(run_until([&] { return host.requests.size() == 1; }));
    const auto request_number = host.requests.front().request_number;
    host.server.answer({request_number, request_outcome::done, refusal::none, std::string(100'000, 'x'), "", "", "", ""});
    CHECK(run_until([&] { return host.server.open_requests() == 0; }));
    host.server.answer({request_number, request_outcome::done, refusal::none, "again", "", "", "", ""});
    CHECK(contains(host.exchange("GET /health HTTP/1.1\r\nHost: h\r\n\r\n"), "200 OK"));
}

TEST_CASE("answers on one connection come in the order of its requests", "[caller-server][whole-answer]") {
    // Guards against an answer to the wrong request of a caller that pipelines requests.
    test_server host;
    raw_client client(host.server.bound_address());
    client.send(post("/v1/statement", "", good_body) + post("/v1/statement", "", good_body));
    for (std::uint64_t request_number = 1; request_number <= 2; ++request_number) {
        REQUIRE(run_until([&] { return host.requests.size() == request_number; }));
        host.server.answer(
            {request_number, request_outcome::done, refusal::none, "n" + std::to_string(request_number), "", "", "", ""});
        REQUIRE(client.wait_for("n" + std::to_string(request_number)));
    }
    CHECK(client.received.find("n1") < client.received.find("n2"));
}

TEST_CASE("the key's text is in no event and on no page", "[caller-server][key-hidden][workspace-isolation]") {
    const std::string key = "spelled-out-key-of-a-caller";
    test_server host;
    host.exchange(post("/v1/statement", "Authorization: Bearer " + key + "\r\n", good_body));
    REQUIRE(run_until([&] { return host.requests.size() == 1; }));
    const caller_request& seen = host.requests.front();
    for (const std::string& text : {seen.key_sha256, seen.route, seen.database, seen.idempotency_key, seen.statement,
                                    seen.session_token, seen.transaction_token}) {
        CHECK_FALSE(contains(text, key));
    }
    CHECK(seen.key_sha256.size() == 64);
    host.server.answer({seen.request_number, request_outcome::done, refusal::none, "", "", "", "", "ws"});
    for (const std::string page : {"/metrics", "/v1/status", "/v1/explain"}) {
        const std::string shown = host.exchange("GET " + page + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK(contains(shown, "200 OK"));
        CHECK_FALSE(contains(shown, key));
    }
}

TEST_CASE("two keys give different hashes, and no key gives none", "[caller-server][workspace-isolation]") {
    test_server host;
    raw_client first(host.server.bound_address());
    first.send(post("/v1/statement", "Authorization: Bearer one\r\n", good_body));
    REQUIRE(run_until([&] { return host.requests.size() == 1; }));
    raw_client second(host.server.bound_address());
    second.send(post("/v1/statement", "authorization: bearer two\r\n", good_body));
    REQUIRE(run_until([&] { return host.requests.size() == 2; }));
    raw_client third(host.server.bound_address());
    third.send(post("/v1/statement", "", good_body));
    REQUIRE(run_until([&] { return host.requests.size() == 3; }));
    CHECK(host.requests[0].key_sha256 != host.requests[1].key_sha256);
    CHECK(host.requests[1].key_sha256.size() == 64);
    CHECK(host.requests[2].key_sha256.empty());
}

TEST_CASE("operators' pages show the report, and the health page fails once the host leaves the load balancer",
          "[caller-server][graceful-shutdown]") {
    test_server host;
    const auto get = [&host](const std::string& path) { return host.exchange("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"); };
    CHECK(contains(get("/health"), "200 OK"));
    CHECK(contains(get("/v1/status"), R"("id":"host-a")"));
    CHECK(contains(get("/v1/explain"), R"("kind":"promotion","subject":"db-1","observations":"term=2")"));
    CHECK(contains(get("/v1/explain"), R"("refused":{"over_rate":2})"));
    host.server.leave_balancer();
    CHECK(contains(get("/health"), "HTTP/1.1 503"));
}
