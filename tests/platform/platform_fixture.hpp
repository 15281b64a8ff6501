#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "camphorstack/session_host/session_host_task.hpp"
#include "links/run_main_loop.hpp"
#include "platform/object_store.hpp"
#include "platform/platform_links.hpp"
#include "platform/wire_instance.hpp"

namespace camphorstack::platform_tests {

/// One session host on loopback, with stand-ins for the store and for a database of two instances.
struct platform_fixture {
    platform_fixture() {
        this->settings.host.self = {"front-1", "127.0.0.1:0", "127.0.0.1:0", "amman-a"};
        this->settings.host.nonce = "first";
        this->settings.host.regions = {{"amman-a", "amman"}};
        this->settings.readiness_address = "127.0.0.1:0";
        this->settings.metrics_address = "127.0.0.1:0";
        this->settings.store_address = this->store.address();
        this->settings.promotion_address = this->store.address();
        this->settings.fleet_secret = "a secret of the tests";
        this->publish("first-key");
        this->put_instance(this->primary, "primary");
        this->put_instance(this->replica, "replica");
        this->start();
    }

    void start() {
        this->has_members = false;
        const auto make_links = [this](const session_event_sink& sink, monitoring_callbacks callbacks) {
            this->monitoring = callbacks;
            auto opened = std::make_unique<platform::platform_links>(this->settings, sink, std::move(callbacks));
            this->callers = opened->callers_address();
            return opened;
        };
        this->task = std::make_unique<session_host_task>(
            make_session_host(this->settings.host, random_source(1), this->time.now()), make_links, this->time, this->wall,
            [this](const decision_line& line) {
                this->has_members = this->has_members || std::string_view(line.kind) == "share_members_changed";
            },
            [this] { this->stopped = true; });
        REQUIRE(tests::run_until([this] { return this->monitoring.is_ready(); }));
        // The host gets its tokens with the first member list, which can be late if the test is held up.
        REQUIRE(tests::run_until([this] { return this->has_members; }));
        tests::run_for(millis{700});
    }

    /// Ends the host and starts another process of it, which knows only what the store holds.
    void restart() {
        this->task.reset();
        this->settings.host.nonce = "second";
        this->start();
        REQUIRE(tests::run_until([this] { return this->owns_leases(); }));
    }

    bool owns_leases() const {
        return this->monitoring.metrics().find("camphorstack_endpoint_queue{endpoint=\"db-0\"}") != std::string::npos;
    }

    void publish(const std::string& key) {
        this->store.put("config", "main",
                        R"({"Version":)" + std::to_string(++this->version) +
                            R"(,"Routes":[{"Name":"r","Host":"books","Kind":"primary","Service":"db","TimeoutMs":500,)"
                            R"("TargetLatencyMs":300,"MaxStalenessMs":)" +
                            this->staleness +
                            R"(}],"Services":[{"Name":"db","MaxConnections":16}],)"
                            R"("Tenants":[{"Name":"counters","ApiKeys":[")" +
                            key + R"("],"RatePerS":1000,"Burst":1000}]})");
    }

    void put_instance(const wire_instance& instance, const std::string& role) {
        const auto id = &instance == &this->primary ? "db-0" : "db-1";
        this->store.put("servers", id,
                        R"({"Service":"db","Address":")" + instance.address() +
                            R"(","Zone":"amman-a","Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":0,)" +
                            R"("Sequence":1,"DatabaseRole":")" + role + R"("})");
    }

    suspend_aware_clock time;
    system_wall_clock wall;
    fd_watcher sockets;
    object_store store;
    session_tests::database_model model{"db", {"amman-a", "amman-a"}};
    wire_instance primary{this->sockets, this->model, "db-0"};
    wire_instance replica{this->sockets, this->model, "db-1"};
    session_settings settings;
    int version = 0;
    std::string staleness = "1000";
    monitoring_callbacks monitoring;
    std::string callers;
    bool stopped = false;
    bool has_members = false;  ///< Since the last start.
    std::unique_ptr<session_host_task> task;
};

}  // namespace camphorstack::platform_tests
