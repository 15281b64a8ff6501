#include <catch2/catch.hpp>

#include "camphorstack/document/sections.hpp"
#include "document/sample_document.hpp"

using namespace camphorstack;

TEST_CASE("a document with all sections is read", "[document]") {
    const auto content = parse_document(sample_document(), 9);
    CHECK(content.version == 9);
    REQUIRE(content.workspaces.size() == 2);
    CHECK(content.workspaces[0].rate_per_s == 100);
    CHECK(content.workspaces[0].burst == 20);
    CHECK(content.workspaces[0].keys[0].id == "k1");
    CHECK(content.workspaces[1].rate_per_s == 0);
    CHECK(content.routes[0].open_workspace == "cashiers");
    REQUIRE(content.databases.size() == 1);
    CHECK(content.databases[0].endpoints[0].location == "amman-a");
    CHECK(content.databases[0].endpoints[1].state == admin_state::out);
    CHECK(content.data_centres[1].state == admin_state::out);
}
