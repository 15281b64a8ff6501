#include "camphorstack/session_host/position_requests.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

/// A write that its caller knows to be done.
struct acknowledged_write {
    instant at;
    std::string statement_id;
};

std::vector<acknowledged_write> acknowledged_writes(session_fleet& fleet, const std::vector<session_id>& writers) {
    std::vector<acknowledged_write> writes;
    for (const auto writer : writers) {
        for (const auto& answer : fleet.caller(writer).answers) {
            if (answer.answer.code == result_code::none) {
                writes.push_back({answer.at, answer.statement_id});
            }
        }
    }
    return writes;
}

/// Returns the position of each write in the logs of the database's instances.
std::map<std::string, log_position> positions_of_writes(database_model& database) {
    std::map<std::string, log_position> positions;
    for (const auto& [id, instance] : database.instances) {
        for (const auto& entry : instance.log) {
            for (const auto& statement : entry.statement_ids) {
                const auto known = positions.try_emplace(statement, entry.position).first;
                known->second = std::min(known->second, entry.position);
            }
        }
    }
    return positions;
}

/// Checks all samples of all hosts: each position includes each write that was acknowledged before the sample's time. Returns the
/// number of samples that had a write to include.
std::size_t check_samples(session_fleet& fleet, std::size_t hosts, const std::vector<session_id>& writers) {
    const auto positions = positions_of_writes(fleet.database(0));
    const auto writes = acknowledged_writes(fleet, writers);
    std::size_t checked = 0;
    for (std::size_t i = 0; i < hosts; ++i) {
        for (const auto& sample : fleet.host("host-" + std::to_string(i)).samples["db0"].entries) {
            log_position needed;
            for (const auto& write : writes) {
                const auto found = positions.find(write.statement_id);
                if (write.at < sample.requested_at && found != positions.end()) {
                    needed = std::max(needed, found->second);
                }
            }
            checked += needed == log_position{} ? 0 : 1;
            CHECK_FALSE(sample.position < needed);
        }
    }
    return checked;
}

std::size_t count_status(const database_model& database) {
    return static_cast<std::size_t>(std::ranges::count_if(
        database.answers, [](const auto& answer) { return answer.requested.command == endpoint_command::status; }));
}

}  // namespace

TEST_CASE("many hosts that read at replicas send one request for the position to the primary between them",
          "[positions][session-fleet]") {
    // Guards against a number of status statements at the primary that grows with the number of hosts.
    const auto count = GENERATE(std::size_t{8}, std::size_t{40}, std::size_t{88});
    fleet_options options;
    options.databases = 1;
    options.hosts.clear();
    for (std::size_t i = 0; i < count; ++i) {
        options.hosts.emplace_back(i % 3 == 0 ? "amman-a" : i % 3 == 1 ? "irbid-a" : "aqaba-a");
    }
    session_fleet fleet(options);
    REQUIRE(fleet.run_until([&] { return fleet.ready_hosts() == count; }, millis{10000}));
    std::vector<session_id> readers;
    for (std::size_t i = 0; i < count; ++i) {
        readers.push_back(fleet.open_session("host-" + std::to_string(i), consistency::bounded_staleness));
    }
    fleet.run_for(millis{2000});
    fleet.database(0).records_answers = true;
    constexpr int rounds = 6;
    for (int i = 0; i < rounds; ++i) {
        for (const auto reader : readers) {
            fleet.send(reader, read_statement("r" + std::to_string(reader) + "-" + std::to_string(i), "item"));
        }
        fleet.run_for(millis{1000});
    }
    // One host by itself asks at most once in 600 ms, and a position is shared for 200 ms.
    CHECK(count_status(fleet.database(0)) <= rounds * 5);
    std::size_t fresh = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const auto newest = newest_sample(fleet.host("host-" + std::to_string(i)).samples["db0"]);
        fresh += newest && fleet.now() - *newest <= millis{800} ? 1 : 0;
    }
    CHECK(fresh == count);
}

TEST_CASE("a known position never lacks a write acknowledged before its time", "[positions][staleness][session-fleet]") {
    // Guards against positions that are passed on with too late a time: reads would miss writes that are older than their bound.
    const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{7}));
    CAPTURE(seed);
    fleet_options options;
    options.databases = 1;
    options.seed = seed;
    session_fleet fleet(options);
    const auto hosts = options.hosts.size();
    fleet.run_for(millis{4000});
    fleet.repeats_answers = true;
    random_source random(seed);
    std::vector<session_id> writers;
    std::vector<session_id> readers;
    const auto reconnect = [&](std::size_t i) {
        const auto host = "host-" + std::to_string(i);
        writers.push_back(fleet.connect(host, session_fleet::route_name(0, consistency::primary), session_fleet::key_of(0)));
        readers.push_back(
            fleet.connect(host, session_fleet::route_name(0, consistency::bounded_staleness), session_fleet::key_of(1)));
    };
    std::size_t checked = 0;
    for (int round = 0; round < 120; ++round) {
        if (round % 20 == 0) {
            fleet.heal();
            for (std::size_t i = 0; i < hosts; ++i) {
                reconnect(i);
            }
            fleet.run_for(millis{100});
        }
        if (round % 20 == 5) {
            const auto one = random() % hosts;
            fleet.cut("host-" + std::to_string(one), "host-" + std::to_string((one + 1 + random() % (hosts - 1)) % hosts));
        } else if (round == 30 || round == 70) {
            // The owner of the primary changes, and with it who knows the positions.
            const auto owner = executor_host(fleet.host("host-0"), fleet.database(0).primary().entry.id);
            fleet.kill_host(owner);
            fleet.run_for(millis{50});
            fleet.start_host(owner);
        } else if (round == 50) {
            fleet.kill_instance(fleet.database(0).primary().entry.id);
        }
        for (std::size_t i = writers.size() - hosts; i < writers.size(); ++i) {
            const auto suffix = std::to_string(i) + "-" + std::to_string(round);
            fleet.send(writers[i], write_statement("w" + suffix, "item" + std::to_string(i % 3), suffix));
            fleet.send(readers[i], read_statement("r" + suffix, "item"));
        }
        fleet.run_for(millis{static_cast<std::int64_t>(20 + random() % 180)});
        checked += check_samples(fleet, hosts, writers);
    }
    CHECK(checked > 1000);
    const auto learned = [&] {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < hosts; ++i) {
            sum += fleet.host("host-" + std::to_string(i)).position_counts.learned;
        }
        return sum;
    }();
    CHECK(learned > 0);
}
