#include "session_fleet/moved_routes.hpp"

#include <catch2/catch.hpp>

namespace camphorstack::session_tests {

namespace {

/// Returns true if all hosts of a fleet with the default options have at least this version of the document.
bool hosts_have_document(session_fleet& fleet, document_version version) {
    for (std::size_t i = 0; i < fleet_options().hosts.size(); ++i) {
        if (fleet.host("host-" + std::to_string(i)).catalog.content->version < version) {
            return false;
        }
    }
    return true;
}

}  // namespace

void move_route(session_fleet& fleet, std::size_t database) {
    auto content = fleet.current_document();
    ++content.version;
    const auto name = session_fleet::route_name(0, consistency::read_your_writes);
    for (auto& route : content.routes) {
        if (route.id == name) {
            route.service = "db" + std::to_string(database);
        }
    }
    fleet.publish(content);
    REQUIRE(fleet.run_until([&] { return hosts_have_document(fleet, content.version); }, millis{1000}));
}

std::vector<endpoint_id> endpoints_of_reads(session_fleet& fleet, std::size_t database, const std::string& prefix) {
    std::vector<endpoint_id> endpoints;
    for (const auto& run : fleet.database(database).runs) {
        if (run.statement_id.starts_with(prefix)) {
            endpoints.push_back(run.endpoint);
        }
    }
    return endpoints;
}

}  // namespace camphorstack::session_tests
