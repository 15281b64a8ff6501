#include <catch2/catch.hpp>

#include "camphorstack/session_host/session_host_state.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{6000};
/// Longer than a host may rely on a document.
constexpr millis after_lifetime{5000};
constexpr const char* added_route = "route-added";

/// Publishes a document with a further route.
void publish_added_route(session_fleet& fleet) {
    auto content = fleet.current_document();
    ++content.version;
    auto added = content.routes.front();
    added.id = added_route;
    added.sessions.database = added_route;
    content.routes.push_back(added);
    fleet.publish(content);
}

std::optional<result_code> code_of_new_session(session_fleet& fleet, const std::string& database, const std::string& key) {
    const auto session = fleet.connect("host-1", database, key);
    fleet.run_for(millis{20});
    return fleet.caller(session).rejected;
}

std::string primary_route() {
    return session_fleet::route_name(0, consistency::primary);
}

void cut_from_news(session_fleet& fleet, const host_id& host) {
    fleet.cut(host, "store");
    for (int i = 0; i < 7; ++i) {
        fleet.cut(host, "host-" + std::to_string(i));
    }
}

}  // namespace

// Guards against callers that are told "no route" or "no key" by a host that has not heard of a change for longer than it may
// rely on its document.
TEST_CASE("a host that cannot prove that its document is recent refuses nobody for good", "[session-fleet][document-age]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto open = fleet.open_session("host-1", consistency::primary);
    const auto open_route = fleet.connect("host-1", primary_route(), "key-1");
    fleet.run_for(millis{20});
    cut_from_news(fleet, "host-1");
    publish_added_route(fleet);
    fleet.run_for(after_lifetime);
    CHECK(code_of_new_session(fleet, added_route, "key-1") == result_code::busy);
    CHECK(code_of_new_session(fleet, primary_route(), "unknown-key") == result_code::busy);
    CHECK(code_of_new_session(fleet, primary_route(), "key-1") == result_code::busy);
    CHECK(fleet.ask(open, read_statement("r0", "item")).code == result_code::busy);
    CHECK(fleet.ask(open_route, read_statement("r1", "item")).code == result_code::busy);
    fleet.heal();
    CHECK(fleet.run_until([&] { return fleet.host("host-1").catalog.content->version == 2; }, millis{3000}));
    CHECK(code_of_new_session(fleet, added_route, "key-1") == std::nullopt);
    CHECK(code_of_new_session(fleet, "no-such-route", "key-1") == result_code::no_database);
    CHECK(code_of_new_session(fleet, primary_route(), "unknown-key") == result_code::not_authorized);
}

// Guards against statements of open sessions that are refused for good because the route is missing from an old document.
TEST_CASE("a statement on a route that an old document lacks is refused with a promise", "[session-fleet][document-age]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-1", consistency::primary);
    const auto with_route = fleet.current_document();
    auto without_route = with_route;
    ++without_route.version;
    std::erase_if(without_route.routes, [](const route& item) { return item.id == primary_route(); });
    fleet.publish(without_route);
    fleet.run_for(millis{2000});
    REQUIRE(fleet.host("host-1").catalog.content->version == without_route.version);
    CHECK(fleet.ask(session, read_statement("r0", "item")).code == result_code::no_database);
    cut_from_news(fleet, "host-1");
    auto restored = with_route;
    restored.version = without_route.version + 1;
    fleet.publish(restored);
    fleet.run_for(after_lifetime);
    CHECK(fleet.ask(session, read_statement("r1", "item")).code == result_code::busy);
}

// Guards against a host that knows that it lacks the newest document and still refuses callers for good.
TEST_CASE("a host that has heard of a newer document refuses nobody for good until it has it", "[session-fleet][document-age]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    auto& watch = watch_of(fleet.host("host-1"), collection::document);
    REQUIRE(note_reported_change(watch, {collection::document, 1'000'000, millis{0}}, fleet.now()));
    CHECK(code_of_new_session(fleet, "no-such-route", "key-1") == result_code::busy);
    CHECK(code_of_new_session(fleet, primary_route(), "unknown-key") == result_code::busy);
    // What the document allows goes on.
    CHECK(code_of_new_session(fleet, primary_route(), "key-1") == std::nullopt);
    watch.seen_revision = 1'000'000;
    CHECK(code_of_new_session(fleet, "no-such-route", "key-1") == result_code::no_database);
}

// Guards against evidence that a host takes from a watch that hears nothing, or from another host that did, and that claims to
// cover a change which the host lacks.
TEST_CASE("no host counts its evidence as younger than a change that it lacks", "[session-fleet][document-age][evidence]") {
    const millis deaf_time{GENERATE(300, 700, 1000)};
    const millis offset{GENERATE(0, 150, 300, 450, 600)};
    constexpr std::size_t hosts = 7;
    session_fleet fleet;
    fleet.run_for(start_time + offset);
    fleet.store.watches_are_deaf = true;
    auto content = fleet.current_document();
    ++content.version;
    fleet.publish(content);
    const auto published = fleet.now();
    const auto check_hosts = [&] {
        for (std::size_t i = 0; i < hosts; ++i) {
            const auto& host = fleet.host("host-" + std::to_string(i));
            if (host.catalog.content->version < content.version) {
                CAPTURE(i, (fleet.now() - published).count);
                CHECK(*watch_of(host, collection::document).evidence <= published);
            }
        }
    };
    constexpr millis step{10};
    while (fleet.now() - published < deaf_time) {
        fleet.run_for(step);
        check_hosts();
    }
    fleet.store.compact();
    for (int i = 0; i < 100; ++i) {
        fleet.run_for(step);
        check_hosts();
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        CHECK(fleet.host("host-" + std::to_string(i)).catalog.content->version == content.version);
    }
}
