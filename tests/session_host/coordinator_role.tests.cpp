#include <catch2/catch.hpp>

#include "camphorstack/coordination/coordinator.hpp"

using namespace camphorstack;

// Guards against a leader that is replaced at once, because it was suspected or missing when this host last was the coordinator.
TEST_CASE("a host that becomes the coordinator again keeps no earlier observations of leaders", "[coordinator-role]") {
    session_host_state state;
    state.settings.self.id = "host-0";
    state.settings.nonce = "first";
    watch_of(state, collection::fleet).listed = true;
    const auto set_coordinator = [&](const host_id& id, store_revision revision) {
        coordinator_record record;
        record.host.id = id;
        record.nonce = "first";
        state.catalog.coordinator = stored_record<coordinator_record>{record, revision};
    };
    set_coordinator("host-0", 1);
    coordinator_role_tick(state, instant{1000});
    REQUIRE(state.coordination.is_coordinator);
    auto& coordination = state.coordination;
    coordination.suspected_since["db-0"] = coordination.missing_since["db-0"] = coordination.replaced_since["db-0"] =
        instant{1100};
    set_coordinator("host-1", 2);
    coordinator_role_tick(state, instant{1200});
    REQUIRE_FALSE(coordination.is_coordinator);
    set_coordinator("host-0", 3);
    coordinator_role_tick(state, instant{9000});
    CHECK(coordination.suspected_since.empty());
    CHECK(coordination.missing_since.empty());
    CHECK(coordination.replaced_since.empty());
}
