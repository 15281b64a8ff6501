#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/links/peer_codec.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
constexpr std::size_t host_count = 7;

std::ptrdiff_t count_lost_peers(const session_fleet& fleet) {
    return std::ranges::count_if(fleet.log, [](const auto& line) { return line.find(" peer_lost ") != std::string::npos; });
}

statement set_statement(const std::string& id, const std::string& name, const std::string& value) {
    auto requested = plain_statement(id, statement_kind::set_value, "");
    requested.name = name;
    requested.argument = value;
    return requested;
}

/// Replaces the value of an item in the logs of all instances.
void replace_value(database_model& database, const std::string& item, const std::string& value) {
    for (auto& [id, instance] : database.instances) {
        for (auto& entry : instance.log) {
            for (auto& [name, written] : entry.writes) {
                written = name == item ? value : written;
            }
        }
    }
}

}  // namespace

// Guards against callers that wait for an answer too large for a frame, and against a usable link that is given up because of it.
TEST_CASE("an answer too large for a link between hosts fails at once and leaves the link in use",
          "[session-fleet][large-messages]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto writer = fleet.open_session("host-0", consistency::primary);
    REQUIRE(fleet.ask(writer, write_statement("w", "large", "small")).code == result_code::none);
    fleet.run_for(millis{100});
    const std::string value(peer_frame_limit, 'x');
    replace_value(fleet.database(0), "large", value);
    std::size_t whole = 0;
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto host = "host-" + std::to_string(i);
        CAPTURE(host);
        const auto session = fleet.open_session(host, consistency::primary);
        const auto asked = fleet.now();
        const auto answer = fleet.ask(session, read_statement("r" + std::to_string(i), "large"));
        whole += answer.rows == std::vector<std::string>{value} ? 1 : 0;
        CHECK((answer.code == result_code::timeout || answer.rows == std::vector<std::string>{value}));
        CHECK(fleet.now() - asked < millis{300});
        CHECK(fleet.ask(session, read_statement("s" + std::to_string(i), "other")).code == result_code::none);

        const auto changing = fleet.open_session(host, consistency::primary);
        fleet.ask(changing, plain_statement("b", statement_kind::begin, "BEGIN"));
        fleet.ask(changing, write_statement("x" + std::to_string(i), "other", "x"));
        const auto read = fleet.ask(changing, read_statement("y" + std::to_string(i), "large"));
        if (read.code == result_code::none) {
            CHECK(fleet.ask(changing, plain_statement("c", statement_kind::commit, "COMMIT")).code == result_code::none);
        } else {
            CHECK(read.code == result_code::aborted);
            CHECK(read.state == session_state::failed);
            CHECK(fleet.ask(changing, plain_statement("c", statement_kind::commit, "COMMIT")).code == result_code::aborted);
        }
    }
    CHECK(whole == 1);
    CHECK(count_lost_peers(fleet) == 0);
}

// Guards against a session whose large values make its host give up a usable link to an endpoint's owner.
TEST_CASE("a statement too large for a link between hosts is refused and leaves the link in use",
          "[session-fleet][large-messages]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto host = "host-" + std::to_string(i);
        CAPTURE(host);
        const auto session = fleet.open_session(host, consistency::primary);
        for (const auto* name : {"first", "second"}) {
            REQUIRE(fleet.ask(session, set_statement("-", name, std::string(peer_frame_limit / 2, 'x'))).code ==
                    result_code::none);
        }
        const auto id = "w" + std::to_string(i);
        const auto answer = fleet.ask(session, write_statement(id, "item", "x"));
        CHECK((answer.code == result_code::none || answer.code == result_code::busy));
        if (answer.code == result_code::busy) {
            CHECK_FALSE(holds_write(fleet.database(0).primary(), id));
        }
        const auto other = fleet.open_session(host, consistency::primary);
        CHECK(fleet.ask(other, write_statement("o" + id, "item", "y")).code == result_code::none);
    }
    CHECK(count_lost_peers(fleet) == 0);
}
