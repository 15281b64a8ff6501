#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "camphorstack/session_host/session_host_task.hpp"
#include "links/raw_client.hpp"
#include "links/run_main_loop.hpp"
#include "platform/platform_links.hpp"
#include "platform/raw_http_server.hpp"

using namespace camphorstack;
using namespace camphorstack::platform_tests;
using camphorstack::tests::run_until;

namespace {

/// Returns an address on loopback that no one listened on a moment ago.
std::string free_address() {
    fd_watcher sockets;
    return raw_http_server(sockets).address();
}

/// A host that is starting, and a store that handles its requests as the test wants.
struct starting_host {
    explicit starting_host(std::function<void(raw_http_server&, const raw_http_request&)> behaviour) {
        this->store.on_request = [this, answer = std::move(behaviour)](const raw_http_request& request) {
            answer(this->store, request);
        };
        this->start(this->store.address());
    }
    /// With a store that nobody listens for.
    starting_host() { this->start(free_address()); }

    void start(const std::string& store_address) {
        this->settings.host.self = {"front-1", "127.0.0.1:0", "127.0.0.1:0", "amman-a"};
        this->settings.host.nonce = "first";
        this->settings.host.regions = {{"amman-a", "amman"}};
        this->settings.readiness_address = free_address();
        this->settings.metrics_address = "127.0.0.1:0";
        this->settings.store_address = store_address;
        this->settings.promotion_address = store_address;
        this->settings.fleet_secret = "a secret of the tests";
        const auto make_links = [this](const session_event_sink& sink, monitoring_callbacks callbacks) {
            return std::make_unique<platform::platform_links>(this->settings, sink, std::move(callbacks));
        };
        this->task = std::make_unique<session_host_task>(
            make_session_host(this->settings.host, random_source(1), this->time.now()), make_links, this->time, this->wall,
            [this](const decision_line& line) { this->log.push_back(line); }, [] {});
    }

    bool has_logged(const std::string& kind, const std::string& text) const {
        return std::ranges::any_of(
            this->log, [&](const decision_line& line) { return line.kind == kind && line.text.find(text) != std::string::npos; });
    }

    /// Returns the response of the readiness page.
    std::string ask_readiness() const {
        raw_client probe(this->settings.readiness_address);
        probe.send("GET /camphorstack/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        CHECK(probe.wait_closed());
        return probe.received;
    }

    suspend_aware_clock time;
    system_wall_clock wall;
    fd_watcher sockets;
    raw_http_server store{this->sockets};
    session_settings settings;
    std::vector<decision_line> log;
    std::unique_ptr<session_host_task> task;
};

/// The host must say within this time what it waits for.
constexpr millis report_limit{3000};

void check_reports(const starting_host& host, const std::string& reason) {
    INFO(reason);
    CHECK(run_until([&] { return host.has_logged("not_ready", reason); }, report_limit));
    CHECK(host.has_logged("coordinator_wait", "no coordinator is known"));
    const auto response = host.ask_readiness();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("list of document from the store: " + reason) != std::string::npos);
}

}  // namespace

// Guards against hosts that wait for a failed store without saying so: only the line of their start in the log, and an empty 503.
TEST_CASE("a host that waits for the store says why in its log and to readiness probes", "[platform][start]") {
    SECTION("the store does not answer") {
        check_reports(starting_host([](auto&, const auto&) {}), "no answer within 700 ms");
    }
    SECTION("the store closes connections") {
        check_reports(starting_host([](auto& store, const auto& request) { store.close(request.connection); }),
                      "Connection terminated unexpectedly");
    }
    SECTION("the store answers with an error") {
        check_reports(
            starting_host([](auto& store, const auto& request) { store.send(request.connection, raw_response(503, "{}")); }),
            "HTTP status 503");
    }
    SECTION("the store answers with something else") {
        check_reports(starting_host([](auto& store, const auto& request) {
                          store.send(request.connection, "nonsense\r\n\r\n");
                          store.close(request.connection);
                      }),
                      "Could not parse HTTP response");
    }
    SECTION("the store answers with an incomplete object") {
        check_reports(starting_host([](auto& store, const auto& request) {
                          store.send(request.connection, raw_response(200, R"({"items":[]})"));
                      }),
                      "store: the response has no valid store revision");
    }
    SECTION("nobody listens at the store's address") {
        check_reports(starting_host(), "Could not connect to 127.0.0.1: Connection refused");
    }
    SECTION("the store has no document") {
        const starting_host host([](auto& store, const auto& request) {
            store.send(request.connection, raw_response(200, R"({"items":[],"HasMore":false,"StoreRevision":5})"));
        });
        CHECK(run_until([&] { return host.has_logged("not_ready", "document: the store holds none"); }, report_limit));
        CHECK(host.ask_readiness().ends_with("document: the store holds none\n"));
    }
}

// Guards against an address in use that is hidden behind a failed assertion of the clean-up.
TEST_CASE("a host that cannot listen for peers ends with an error that names the address", "[platform][start-address]") {
    fd_watcher sockets;
    const raw_http_server other(sockets);
    int assertions = 0;
    const auto count = +[](const char*, GLogLevelFlags, const char*, gpointer counter) { ++*static_cast<int*>(counter); };
    const auto handler = g_log_set_handler("GLib-GObject", G_LOG_LEVEL_CRITICAL, count, &assertions);
    CHECK_THROWS_WITH(peer_links({"front-1", other.address(), "127.0.0.1:0", "amman-a"}, "a secret of the tests", [](auto) {}),
                      Catch::StartsWith("cannot listen for peers on " + other.address() + ": "));
    g_log_remove_handler("GLib-GObject", handler);
    CHECK(assertions == 0);
}
