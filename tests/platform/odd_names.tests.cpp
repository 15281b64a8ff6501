#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "camphorstack/document/json_tree.hpp"
#include "links/raw_client.hpp"
#include "platform/platform_fixture.hpp"
#include "platform/raw_http_server.hpp"
#include "platform/store_link.hpp"

using namespace camphorstack;
using namespace camphorstack::platform_tests;
using camphorstack::tests::run_for;
using camphorstack::tests::run_until;

namespace {

/// Names that a field of the protocol can hold.
std::vector<std::string> odd_names() {
    return {"a\nb",
            "\na",
            "a\n",
            "a\rb",
            "a\r",
            "\t\x01\x7f",
            std::string("a\0b", 3),
            std::string("\0", 1),
            "é漢😀",
            "\"'\\",
            "-",
            "\xef\xb7\x90"
            "0000"};
}

struct names {
    std::string database = "books";
    std::string service = "db";
    std::string workspace = "counters";
    std::string key = "first-key";
};

/// A document with the fixture's route and workspace, and beside it those with the given names.
std::string document_with(const names& odd, int version) {
    const auto route = [](const std::string& id, const std::string& database, const std::string& service) {
        return R"({"Name":")" + id + R"(","Host":)" + quoted(database) + R"(,"Kind":"primary","Service":)" + quoted(service) +
               R"(,"TimeoutMs":500,"TargetLatencyMs":300})";
    };
    const auto workspace = [](const std::string& name, const std::string& key) {
        return R"({"Name":)" + quoted(name) + R"(,"ApiKeys":[)" + quoted(key) + R"(],"RatePerS":1000,"Burst":1000})";
    };
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + route("r", "plain", "db") + "," +
           route("r-odd", odd.database, odd.service) + R"(],"Services":[{"Name":"db","MaxConnections":16})" +
           (odd.service == "db" ? "" : R"(,{"Name":)" + quoted(odd.service) + R"(,"MaxConnections":16})") + R"(],"Tenants":[)" +
           workspace("plain", "plain-key") + "," + workspace(odd.workspace, odd.key) + "]}";
}

std::string endpoint_text(const std::string& service, const std::string& address, const std::string& role) {
    return R"({"Service":)" + quoted(service) + R"(,"Address":")" + address +
           R"(","Zone":"amman-a","Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":0,"Sequence":1,"DatabaseRole":")" +
           role + R"("})";
}

void publish(platform_fixture& system, const names& odd) {
    system.version += 1;
    system.store.put("config", "main", document_with(odd, system.version));
    run_for(millis{200});
}

/// Returns the answer to a caller's first message.
std::string start_answer(const platform_fixture& system, const std::string& database, const std::string& key) {
    raw_client caller(system.callers);
    caller.send("START " + database + " " + key + "\r\n");
    static_cast<void>(caller.wait_for("\r\n"));
    return caller.received.substr(0, caller.received.find(' ', caller.received.find(' ') + 1));
}

bool is_served(const platform_fixture& system, const std::string& database, const std::string& key, const std::string& id) {
    raw_client caller(system.callers);
    caller.send("START " + database + " " + key + "\r\nQUERY " + id + " WRITE item value\r\n");
    return caller.wait_for("DONE proof-" + id + "\r\n", 2000);
}

bool has_received(const wire_instance& instance, const std::string& message) {
    return std::ranges::count(instance.lines, message) > 0;
}

bool are_messages(const wire_instance& instance) {
    return std::ranges::all_of(instance.lines, [](const std::string& line) {
        return line.starts_with("START ") || line.starts_with("QUERY ") || line == "BYE";
    });
}

}  // namespace

TEST_CASE("a key in the document is compared whole and stands for no shorter key", "[platform][odd-names]") {
    platform_fixture system;
    for (const auto& name : odd_names()) {
        const auto key = "abc" + name + "x";
        CAPTURE(name);
        publish(system, {.key = key});
        CHECK(start_answer(system, "books", key) == "READY I");
        CHECK(start_answer(system, "books", "abc") == "ERROR NOAUTH");
        CHECK(start_answer(system, "books", "abc" + name) == "ERROR NOAUTH");
    }
}

TEST_CASE("a workspace with an odd name is served and named whole to the instance", "[platform][odd-names]") {
    platform_fixture system;
    int number = 0;
    for (const auto& name : odd_names()) {
        CAPTURE(name);
        publish(system, {.workspace = name});
        CHECK(is_served(system, "books", "first-key", "q" + std::to_string(++number)));
        CHECK(has_received(system.primary, "START db " + name + " db-0"));
    }
    CHECK(are_messages(system.primary));
}

TEST_CASE("a workspace whose name no message can carry is left out and the others are served", "[platform][odd-names]") {
    platform_fixture system;
    int number = 0;
    for (const std::string name : {"a b", " ", "a\r\nb", "x db-0\r\nQUERY q WRITE item 1", "\r\n"}) {
        CAPTURE(name);
        publish(system, {.workspace = name});
        CHECK(start_answer(system, "books", "first-key") == "ERROR NOAUTH");
        CHECK(is_served(system, "books", "plain-key", "q" + std::to_string(++number)));
    }
    CHECK(are_messages(system.primary));
    CHECK(are_messages(system.replica));
    CHECK_FALSE(std::ranges::any_of(system.primary.lines, [](const auto& line) { return line.starts_with("START db  "); }));
}

TEST_CASE("a database is found by its whole odd name", "[platform][odd-names]") {
    platform_fixture system;
    int number = 0;
    for (const auto& name : odd_names()) {
        CAPTURE(name);
        publish(system, {.database = "books" + name});
        CHECK(is_served(system, "books" + name, "first-key", "q" + std::to_string(++number)));
        CHECK(start_answer(system, "books", "first-key") == "ERROR NODB");
    }
}

TEST_CASE("a service and its instances with odd names are served", "[platform][odd-names]") {
    for (const auto& name : odd_names()) {
        CAPTURE(name);
        platform_fixture system;
        session_tests::database_model model{"db" + name, {"amman-a", "amman-a"}};
        wire_instance primary(system.sockets, model, "db" + name + "-0");
        wire_instance replica(system.sockets, model, "db" + name + "-1");
        system.store.put("servers", "db" + name + "-0", endpoint_text("db" + name, primary.address(), "primary"));
        system.store.put("servers", "db" + name + "-1", endpoint_text("db" + name, replica.address(), "replica"));
        publish(system, {.service = "db" + name});
        run_for(millis{500});
        CHECK(is_served(system, "books", "first-key", "q1"));
        CHECK(is_served(system, "plain", "plain-key", "q2"));
        CHECK(has_received(primary, "START db" + name + " counters db" + name + "-0"));
        CHECK(are_messages(primary));
    }
}

TEST_CASE("a service or an instance whose name no message can carry is left out", "[platform][odd-names]") {
    platform_fixture system;
    const std::string line = "\r\nQUERY q WRITE item 1";
    wire_instance& reused = system.replica;
    for (const auto& service : {std::string("d b"), "db" + line}) {
        CAPTURE(service);
        system.store.put("servers", "i-odd", endpoint_text(service, reused.address(), "primary"));
        publish(system, {.service = service});
        CHECK_FALSE(is_served(system, "books", "first-key", "q-odd"));
        CHECK(is_served(system, "plain", "plain-key", "q-" + std::to_string(service.size())));
    }
    system.store.put("servers", "i" + line, endpoint_text("db", reused.address(), "replica"));
    run_for(millis{500});
    CHECK(is_served(system, "plain", "plain-key", "q-last"));
    CHECK(are_messages(system.primary));
    CHECK(are_messages(reused));
}

TEST_CASE("an odd name starts no line of its own in the metrics", "[platform][odd-names]") {
    platform_fixture system;
    system.store.put("servers", "i\"\\", endpoint_text("db", system.replica.address(), "replica"));
    publish(system, {.workspace = "a\n\"b"});
    REQUIRE(is_served(system, "books", "first-key", "q1"));
    CHECK(run_until([&] {
        return system.monitoring.metrics().find("camphorstack_endpoint_queue{endpoint=\"i\\\"\\\\\"} ") != std::string::npos;
    }));
    CHECK(system.monitoring.metrics().find("workspace=\"a\\n\\\"b\",") != std::string::npos);
    CHECK(system.monitoring.metrics().find("\n\"") == std::string::npos);
}

TEST_CASE("a name with any characters reaches the store whole in the path and the body", "[platform][odd-names]") {
    fd_watcher sockets;
    raw_http_server server(sockets);
    std::vector<raw_http_request> requests;
    server.on_request = [&](const raw_http_request& request) {
        requests.push_back(request);
        server.send(request.connection, raw_response(200, "{}"));
    };
    std::size_t answers = 0;
    platform::store_link link(server.address(), server.address(), millis{1000},
                              [&](const session_host_event& event) { answers += std::holds_alternative<catalog_answer>(event); });
    const std::vector<std::pair<std::string, std::string>> names{{std::string("a\0b", 3), "a%00b"},
                                                                 {"a\r\nX: y\n", "a%0D%0AX%3A%20y%0A"},
                                                                 {"a/b?c=d&e#f%41", "a%2Fb%3Fc%3Dd%26e%23f%2541"},
                                                                 {"../x", "..%2Fx"},
                                                                 {"é", "%C3%A9"},
                                                                 {" a ", "%20a%20"}};
    for (const auto& [name, escaped] : names) {
        CAPTURE(name);
        requests.clear();
        link.carry_out(catalog_call{1, collection::fleet, catalog_operation::replace, name, 3, millis{0}, "{\"epoch\":1}"});
        REQUIRE(run_until([&] { return requests.size() == 1; }));
        CHECK(requests[0].head.starts_with("PUT /camphorstack/objects/fleet/" + escaped + " HTTP/1.1\r\n"));
        const json_tree body(requests[0].body);
        CHECK(string_member(object_member(body.root(), "meta"), "Name") == name);
        link.carry_out(catalog_call{2, collection::endpoints, catalog_operation::list, name, 0, millis{0}, ""});
        REQUIRE(run_until([&] { return requests.size() == 2; }));
        CHECK(requests[1].head.starts_with("GET /camphorstack/objects/servers?after=" + escaped + " HTTP/1.1\r\n"));
        REQUIRE(run_until([&] { return answers % 2 == 0; }));
    }
}
