#include "camphorstack/session_host/routing.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/session_host/endpoint_owners.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

endpoint_directory directory_of(std::size_t databases, const std::vector<data_centre_id>& locations) {
    endpoint_directory endpoints;
    for (std::size_t i = 0; i < databases; ++i) {
        for (const auto& location : locations) {
            endpoint_entry entry;
            entry.id = "i-" + std::to_string(i) + "-" + location;
            entry.database = "db" + std::to_string(i);
            entry.location = location;
            endpoints[entry.id] = entry;
        }
    }
    return endpoints;
}

}  // namespace

TEST_CASE("endpoints are owned by hosts in their data centre, in equal numbers", "[owners][session-host]") {
    const auto endpoints = directory_of(3, {"amman-a", "irbid-a"});
    const std::vector<member> hosts{
        {"a", "", "", "amman-a"}, {"b", "", "", "amman-a"}, {"c", "", "", "amman-a"}, {"d", "", "", "irbid-a"}};
    const auto owners = choose_endpoint_owners(endpoints, hosts);
    std::map<host_id, int> load;
    for (const auto& [id, entry] : endpoints) {
        const auto owner = std::ranges::find(hosts, owners.at(id), &member::id);
        CHECK(owner->location == entry.location);
        ++load[owner->id];
    }
    CHECK(load == std::map<host_id, int>{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 3}});
    CHECK(choose_endpoint_owners(endpoints, {}).empty());
    CHECK(choose_endpoint_owners(endpoints, {hosts[3]}).size() == 6);
}

TEST_CASE("an operation limited to regions runs only at endpoints and through hosts in these regions",
          "[regions][session-fleet]") {
    // Guards against statements that are sent to a region that is neither allowed nor the region of the caller's host.
    session_fleet fleet;
    auto content = fleet.current_document();
    content.version = 2;
    for (auto& changed : content.routes) {
        changed.sessions.regions = {"irbid", "amman"};
    }
    content.workspaces[0].regions = {"amman"};
    content.workspaces[1].regions = {"aqaba"};
    fleet.publish(content);
    fleet.run_for(millis{5000});
    for (const auto kind : {consistency::primary, consistency::bounded_staleness}) {
        const auto session = fleet.connect("host-5", session_fleet::route_name(0, kind), session_fleet::key_of(0));
        for (int i = 0; i < 5; ++i) {
            CHECK(fleet.ask(session, read_statement("r" + std::to_string(i), "item")).code == result_code::none);
        }
        const auto nowhere = fleet.connect("host-5", session_fleet::route_name(0, kind), session_fleet::key_of(1));
        CHECK(fleet.ask(nowhere, read_statement("n", "item")).code == result_code::busy);
    }
    for (const auto& run : fleet.database(0).runs) {
        CHECK(run.endpoint == "db0-0");
    }
    // An endpoint whose region has no host is owned by a host in another region. That host must not receive the statement if its
    // own region is not allowed.
    auto& host = fleet.host("host-5");
    host.owners["db0-0"] = "host-3";
    session_access access;
    access.database = "db0";
    access.in_regions_only = true;
    access.regions = {"amman"};
    const auto target = leader_target(host, access);
    REQUIRE(target);
    CHECK(target->host == "host-5");
}

TEST_CASE("changed settings are applied while the host runs", "[reload][session-host]") {
    session_fleet fleet;
    fleet.run_for(millis{1000});
    auto& host = fleet.host("host-0");
    static_cast<void>(step(host, settings_changed{{{"amman-a", "north"}}, millis{9000}, millis{1000}, millis{700}}, fleet.now()));
    CHECK(region_of(host, "amman-a") == "north");
    CHECK(host.settings.stop_grace == millis{9000});
    CHECK(host.settings.entry.document_lifetime == millis{1000});
    CHECK(host.settings.entry.refusal_lifetime == millis{700});
}
