#include <array>
#include <catch2/catch.hpp>

#include "camphorstack/support/random.hpp"
#include "session_fleet/moved_routes.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
constexpr std::size_t databases = 2;

/// A session on the moved route, which alone writes its item.
struct moved_caller {
    session_id session = 0;
    std::string item;
    std::array<std::string, databases> last{"none", "none"};  ///< Value that was acknowledged last in each database.
};

std::size_t below(random_source& random, std::size_t limit) {
    return static_cast<std::size_t>(random() % limit);
}

void write(session_fleet& fleet, moved_caller& caller, std::size_t database, const std::string& value) {
    REQUIRE(fleet.ask(caller.session, write_statement("w-" + value, caller.item, value)).code == result_code::none);
    caller.last.at(database) = value;
}

/// Writes in a transaction during which the route is moved.
void write_while_moving(session_fleet& fleet, moved_caller& caller, std::size_t from, std::size_t to, const std::string& value) {
    REQUIRE(fleet.ask(caller.session, plain_statement("b-" + value, statement_kind::begin, "BEGIN")).code == result_code::none);
    REQUIRE(fleet.ask(caller.session, write_statement("w-" + value, caller.item, value)).code == result_code::none);
    move_route(fleet, to);
    REQUIRE(fleet.ask(caller.session, plain_statement("c-" + value, statement_kind::commit, "COMMIT")).code == result_code::none);
    caller.last.at(from) = value;
}

void check_read(session_fleet& fleet, const moved_caller& caller, std::size_t database, const std::string& id) {
    const auto read = fleet.ask(caller.session, read_statement(id, caller.item));
    CAPTURE(id, database);
    CHECK(read.code == result_code::none);
    CHECK(read.rows == std::vector<std::string>{caller.last.at(database)});
}

std::set<endpoint_id> choose_lagging(random_source& random) {
    std::set<endpoint_id> lagging;
    for (std::size_t database = 0; database < databases; ++database) {
        for (const char* replica : {"-1", "-2"}) {
            if (below(random, 2) == 0) {
                lagging.insert("db" + std::to_string(database) + replica);
            }
        }
    }
    return lagging;
}

}  // namespace

// Guards against state of a session, of whatever kind, that is learnt in one database and used in another.
TEST_CASE("sessions read their own writes while their route moves between databases at random", "[session-fleet][moved-routes]") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 9));
    CAPTURE(seed);
    fleet_options options;
    options.seed = seed;
    session_fleet fleet(options);
    fleet.run_for(start_time);
    random_source random(seed);
    moved_caller caller{fleet.open_session("host-3", consistency::read_your_writes), "item"};
    // The logs of unlike length tell a position of one database from that of another.
    for (std::size_t i = 0; i < databases; ++i) {
        move_route(fleet, i);
        for (std::size_t written = 0; written < i * 15; ++written) {
            write(fleet, caller, i, "first-" + std::to_string(written));
        }
    }
    std::size_t database = databases - 1;
    for (int step = 0; step < 300; ++step) {
        const auto name = std::to_string(step);
        switch (below(random, 8)) {
            case 0:
            case 1:
                database = below(random, databases);
                move_route(fleet, database);
                break;
            case 2:
                fleet.lagging = choose_lagging(random);
                break;
            case 3: {
                const auto next = below(random, databases);
                write_while_moving(fleet, caller, database, next, "v" + name);
                database = next;
                break;
            }
            case 4:
                for (std::size_t i = below(random, 5) + 1; i > 0; --i) {
                    write(fleet, caller, database, "v" + name + "-" + std::to_string(i));
                }
                break;
            default:
                fleet.run_for(millis{static_cast<std::int64_t>(below(random, 150))});
                check_read(fleet, caller, database, "r" + name);
        }
    }
}
