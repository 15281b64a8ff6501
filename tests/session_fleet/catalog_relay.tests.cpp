#include "camphorstack/session_host/catalog_relay.hpp"

#include <catch2/catch.hpp>

#include "camphorstack/coordination/coordinator.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{6000};

fleet_options fleet_of(std::size_t hosts) {
    fleet_options options;
    options.hosts.clear();
    for (std::size_t i = 0; i < hosts; ++i) {
        options.hosts.emplace_back(i % 3 == 0 ? "amman-a" : i % 3 == 1 ? "irbid-a" : "aqaba-a");
    }
    return options;
}

std::string host_id_of(std::size_t i) {
    return "host-" + std::to_string(i);
}

/// Number of hosts that follow the given version of the document.
std::size_t count_adopted(session_fleet& fleet, std::size_t hosts, document_version version) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < hosts; ++i) {
        count += fleet.host(host_id_of(i)).catalog.content->version == version ? 1 : 0;
    }
    return count;
}

void publish_version(session_fleet& fleet, document_version version) {
    auto content = fleet.current_document();
    content.version = version;
    fleet.publish(content);
}

}  // namespace

// Guards against calls that grow with the fleet: with a call of each host for each change, the store got 123 calls a second from
// 195 hosts on a quiet day.
TEST_CASE("a change of the store reaches all hosts without a call of each", "[session-fleet][catalog-relay]") {
    const std::size_t hosts = GENERATE(7U, 28U, 90U);
    session_fleet fleet(fleet_of(hosts));
    fleet.run_for(start_time);
    const auto calls_in = [&fleet](millis span) {
        const auto before = fleet.store.calls;
        fleet.run_for(span);
        return fleet.store.calls - before;
    };
    constexpr std::size_t changes = 4;
    const auto at_rest = calls_in(millis{8000});
    const auto before = fleet.store.calls;
    for (std::size_t i = 1; i <= changes; ++i) {
        publish_version(fleet, 100 + i);
        fleet.store.put(collection::evacuations, "zone-" + std::to_string(i), evacuation_item{});
        fleet.run_for(millis{2000});
        CHECK(count_adopted(fleet, hosts, 100 + i) == hosts);
    }
    fleet.store.remove(collection::evacuations, "zone-1");
    fleet.run_for(millis{2000});
    for (std::size_t i = 0; i < hosts; ++i) {
        CHECK(fleet.host(host_id_of(i)).catalog.evacuated == std::set<data_centre_id>{"zone-2", "zone-3", "zone-4"});
    }
    CAPTURE(hosts, at_rest, fleet.store.calls - before);
    // The coordinator reads each change once or twice.
    CHECK(fleet.store.calls - before <= at_rest + at_rest / 4 + 4 * changes + 2);
    CHECK(fleet.ready_hosts() == hosts);
}

// Guards against hosts that wait for ever for a host that passes changes on and has failed.
TEST_CASE("a host whose relay fails reads the store", "[session-fleet][catalog-relay]") {
    constexpr std::size_t hosts = 28;
    session_fleet fleet(fleet_of(hosts));
    fleet.run_for(start_time);
    std::set<host_id> parents;
    for (std::size_t i = 0; i < hosts; ++i) {
        parents.insert(relay_parent(fleet.host(host_id_of(i))));
    }
    parents.erase("");
    REQUIRE(parents.size() > 1);
    SECTION("because it is cut off from the others") {
        for (const auto& parent : parents) {
            for (std::size_t i = 0; i < hosts; ++i) {
                fleet.cut(parent, host_id_of(i));
            }
        }
        publish_version(fleet, 200);
        fleet.run_for(millis{4500});
        CHECK(count_adopted(fleet, hosts, 200) == hosts);
    }
    SECTION("because its process was killed") {
        for (const auto& parent : parents) {
            fleet.kill_host(parent);
        }
        publish_version(fleet, 200);
        fleet.run_for(millis{4500});
        for (const auto& parent : parents) {
            fleet.start_host(parent);
        }
        fleet.run_for(millis{1000});
        CHECK(count_adopted(fleet, hosts, 200) == hosts);
    }
}

// Guards against a host that misses changes for as long as the one host that it asks for them does not get them either.
TEST_CASE("a host that the store turns away does not depend on one relay parent", "[session-fleet][catalog-relay]") {
    constexpr std::size_t hosts = 28;
    session_fleet fleet(fleet_of(hosts));
    fleet.run_for(start_time);
    const auto coordinator = fleet.host("host-0").catalog.coordinator->record.host.id;
    host_id child;
    for (std::size_t i = 0; i < hosts && child.empty(); ++i) {
        const auto parent = relay_parent(fleet.host(host_id_of(i)));
        if (!parent.empty() && parent != coordinator) {
            child = host_id_of(i);
        }
    }
    REQUIRE_FALSE(child.empty());
    const auto parent = relay_parent(fleet.host(child));
    // The parent answers its children, but hears of no change.
    fleet.cut(parent, "store");
    for (std::size_t i = 0; i < hosts; ++i) {
        if (host_id_of(i) != child) {
            fleet.cut(parent, host_id_of(i));
        }
    }
    fleet.cut(child, "store");
    publish_version(fleet, 200);
    fleet.run_for(millis{2500});
    CHECK(fleet.host(child).catalog.content->version == 200);
}

// Guards against a wait for changes that no host passes on.
TEST_CASE("changes that are too large to pass on are read from the store at once", "[session-fleet][catalog-relay]") {
    constexpr std::size_t hosts = 28;
    session_fleet fleet(fleet_of(hosts));
    fleet.run_for(start_time);
    constexpr std::size_t objects = 20;
    constexpr std::size_t name_length = 60'000;
    for (std::size_t i = 0; i < objects; ++i) {
        fleet.store.put(collection::evacuations, std::string(name_length, static_cast<char>('a' + i)), evacuation_item{});
    }
    // A host hears of the change within a report interval of 500 ms; the time limit for another host's reply is 600 ms.
    fleet.run_for(millis{590});
    for (std::size_t i = 0; i < hosts; ++i) {
        CHECK(fleet.host(host_id_of(i)).catalog.evacuated.size() == objects);
    }
}

TEST_CASE("hosts ask a tree below the coordinator for changes", "[session-fleet][catalog-relay]") {
    constexpr std::size_t hosts = 90;
    session_fleet fleet(fleet_of(hosts));
    fleet.run_for(start_time);
    std::map<host_id, std::size_t> children;
    for (std::size_t i = 0; i < hosts; ++i) {
        ++children[relay_parent(fleet.host(host_id_of(i)))];
    }
    CHECK(children[""] == 1);  // Only the coordinator has none.
    children.erase("");
    const auto coordinator = fleet.host("host-0").catalog.coordinator->record.host.id;
    CHECK(children[coordinator] >= 3);  // The roots of the data centres.
    for (const auto& [parent, count] : children) {
        CHECK(count <= catalog_relay_fanout);
    }
    std::size_t between_data_centres = 0;
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto& host = fleet.host(host_id_of(i));
        const auto parent = relay_parent(host);
        const auto& members = listed_members(host);
        const auto found = std::ranges::find(members, parent, &member::id);
        between_data_centres += found != members.end() && found->location != host.settings.self.location ? 1 : 0;
    }
    CHECK(between_data_centres <= 3);
}

// Guards against requests of a peer for what this host does not have, and against answers that were not asked for.
TEST_CASE("requests and replies of the relay that do not fit change nothing", "[session-fleet][catalog-relay]") {
    session_fleet fleet(fleet_of(7));
    fleet.run_for(start_time);
    auto& host = fleet.host("host-3");
    const auto evidence = watch_of(host, collection::document).evidence;
    const auto revision = watch_of(host, collection::document).revision;
    receive_catalog_reply(host, {12345, collection::document, {true, {}, {}}, 99999, 99999, millis{0}}, fleet.now());
    CHECK(host.actions.empty());
    CHECK(watch_of(host, collection::document).revision == revision);
    CHECK(watch_of(host, collection::document).evidence == evidence);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        receive_catalog_request(host, "stranger", {i, collection::endpoints, 0, 1'000'000'000}, fleet.now());
    }
    CHECK(host.kept_requests.size() <= collection_count);
    host.actions.clear();
    fleet.run_for(millis{2000});
    CHECK(host.kept_requests.empty());
    CHECK(host.catalog.endpoints.size() == 9);
}

TEST_CASE("a relayed answer that comes twice or after its time limit changes nothing", "[session-fleet][catalog-relay]") {
    session_fleet fleet(fleet_of(7));
    fleet.run_for(start_time);
    auto& host = fleet.host("host-3");
    auto& watch = watch_of(host, collection::endpoints);
    REQUIRE(request_change(host, collection::endpoints, watch.last_change + 1, {}, fleet.now()));
    const auto first = watch.requested->sequence;
    host.actions.clear();
    // After the time limit another request is open, with the same content but another number.
    catalog_relay_tick(host, fleet.now() + millis{600});
    REQUIRE_FALSE(watch.requested);
    watch.list_wanted = false;
    REQUIRE(request_change(host, collection::endpoints, watch.last_change + 1, {}, fleet.now()));
    const auto second = watch.requested->sequence;
    host.actions.clear();
    const auto reply_to = [&](std::uint64_t sequence) {
        const auto revision = watch.last_change + 1;
        receive_catalog_reply(host, {sequence, collection::endpoints, {false, {}, {}}, revision, revision, millis{0}},
                              fleet.now());
    };
    reply_to(first);
    CHECK((host.actions.empty() && watch.requested));
    reply_to(second);
    CHECK(host.actions.size() == 1);
    CHECK((watch.decoding && !watch.requested));
    const auto decoding = watch.decoding->call;
    reply_to(second);
    reply_to(first);
    CHECK(host.actions.size() == 1);
    CHECK(watch.decoding->call == decoding);
}
