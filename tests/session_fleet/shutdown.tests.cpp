#include <algorithm>
#include <catch2/catch.hpp>

#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};
constexpr std::size_t statements_of_transaction = 12;
/// A request that was sent at most this long before its session's end may stay without an answer.
constexpr millis loss_slack{200};

/// A caller that runs one transaction with pauses between its statements and ends it at the first error.
struct paced_transaction {
    session_id session = 0;
    std::string name;
    instant next;
    millis pause;
    std::size_t sent = 0;
    std::size_t answered = 0;
};

statement nth_statement(const paced_transaction& item) {
    const auto id = item.name + "-" + std::to_string(item.sent);
    if (item.sent == 0) {
        return plain_statement(id, statement_kind::begin, "BEGIN");
    }
    if (item.sent + 1 == statements_of_transaction) {
        return plain_statement(id, statement_kind::commit, "COMMIT");
    }
    return item.sent + 2 == statements_of_transaction ? write_statement(id, "item", item.name) : read_statement(id, "item");
}

/// Sends the transaction's next statement if it is due.
void advance(session_fleet& fleet, paced_transaction& item) {
    const auto& caller = fleet.caller(item.session);
    if (caller.answers.size() > item.answered) {
        item.answered = caller.answers.size();
        item.next = fleet.now() + item.pause;
        const bool failed = caller.answers.back().answer.code != result_code::none;
        item.sent = failed ? statements_of_transaction : item.sent;
    }
    const bool waits = !caller.order.empty();
    if (waits || caller.closed || item.sent >= statements_of_transaction || fleet.now() < item.next) {
        return;
    }
    fleet.send(item.session, nth_statement(item));
    ++item.sent;
}

bool is_promise_of_no_effect(result_code code) {
    return code == result_code::busy || code == result_code::aborted || code == result_code::read_only;
}

/// Checks that each statement has an answer, and that the answers agree with what the database keeps.
void check_answers(session_fleet& fleet, session_id session) {
    const auto& caller = fleet.caller(session);
    CAPTURE(session, caller.order);
    CHECK(caller.order.empty());
    for (const auto& received : caller.answers) {
        CAPTURE(received.statement_id, received.answer.text);
        if (is_promise_of_no_effect(received.answer.code)) {
            CHECK_FALSE(holds_write(fleet.database(0).primary(), received.statement_id));
        }
    }
}

}  // namespace

// Guards against a host that ends its process while statements of open transactions are in flight, so that their callers get no
// answer (review/4).
TEST_CASE("a host that shuts down answers the statements of transactions that outlast it", "[session-fleet][stop]") {
    const auto stop_grace = GENERATE(millis{1000}, millis{3000}, millis{6000}, millis{10000});
    const auto service_time = GENERATE(millis{5}, millis{24});
    const auto host = GENERATE(host_id("host-0"), host_id("host-4"));
    session_fleet fleet(fleet_options{.service_time = service_time, .connections = 64, .stop_grace = stop_grace});
    fleet.run_for(start_time);
    std::vector<paced_transaction> items;
    for (int i = 0; i < 30; ++i) {
        const auto kind = i % 2 == 0 ? consistency::read_your_writes : consistency::primary;
        // The transactions begin between a seventh and a quarter of the grace period and last three quarters of it.
        const auto begins = stop_grace / 7 + stop_grace * i / 280;
        items.push_back({fleet.open_session(host, kind), "t" + std::to_string(i), fleet.now() + begins, stop_grace / 16});
    }
    CAPTURE(stop_grace.count, service_time.count, host);
    fleet.stop_host(host);
    const auto stopped = fleet.now();
    while (fleet.now() - stopped < stop_grace + millis{1000}) {
        fleet.run_for(millis{5});
        for (auto& item : items) {
            advance(fleet, item);
        }
    }
    for (const auto& item : items) {
        check_answers(fleet, item.session);
        for (const auto& received : fleet.caller(item.session).answers) {
            CHECK(received.answer.code != result_code::in_doubt);
            CHECK(received.at - stopped <= stop_grace);
        }
    }
}

// Guards against refusals in the first half of the grace period, in which open transactions may end.
TEST_CASE("a transaction that ends in the first half of the grace period is not disturbed by a shutdown",
          "[session-fleet][stop]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    paced_transaction item{fleet.open_session("host-3", consistency::primary), "t", fleet.now(), millis{200}};
    fleet.stop_host("host-3");
    const auto stopped = fleet.now();
    while (fleet.now() - stopped < millis{4000}) {
        fleet.run_for(millis{5});
        advance(fleet, item);
    }
    const auto& caller = fleet.caller(item.session);
    REQUIRE(caller.answers.size() == statements_of_transaction);
    for (const auto& received : caller.answers) {
        CHECK(received.answer.code == result_code::none);
    }
}

// Guards against a process that ends without an answer to statements that the endpoint is still running.
TEST_CASE("a host that ends before an endpoint answers tells the callers what is known", "[session-fleet][stop]") {
    session_fleet fleet(fleet_options{.service_time = millis{9000}, .statement_timeout = millis{20000}});
    fleet.run_for(start_time);
    for (int i = 0; i < 7; ++i) {
        // The endpoints are slow, not suspected.
        fleet.host("host-" + std::to_string(i)).executor.settings.silence_limit = millis{60000};
    }
    const auto writer = fleet.open_session("host-3", consistency::primary);
    const auto reader = fleet.open_session("host-3", consistency::bounded_staleness);
    const auto transaction = fleet.open_session("host-3", consistency::primary);
    fleet.send(writer, write_statement("w", "item", "x"));
    fleet.send(writer, write_statement("behind", "item", "y"));
    fleet.send(reader, read_statement("r", "item"));
    fleet.ask(transaction, plain_statement("b", statement_kind::begin, "BEGIN"));
    fleet.send(transaction, write_statement("t", "item", "z"));
    fleet.send(transaction, plain_statement("c", statement_kind::commit, "COMMIT"));
    fleet.run_for(millis{50});
    fleet.stop_host("host-3");
    fleet.run_for(millis{6000});
    const auto codes = [&](session_id session) {
        std::vector<result_code> found;
        for (const auto& received : fleet.caller(session).answers) {
            found.push_back(received.answer.code);
        }
        return found;
    };
    CHECK(codes(writer) == std::vector{result_code::in_doubt, result_code::busy});
    CHECK(codes(reader) == std::vector{result_code::timeout});
    CHECK(codes(transaction) == std::vector{result_code::none, result_code::aborted, result_code::aborted});
    for (const auto session : {writer, reader, transaction}) {
        check_answers(fleet, session);
        CHECK(fleet.caller(session).closed);
    }
}

// Guards against commits in doubt at callers of other hosts, whose transactions run through an owner that shuts down.
TEST_CASE("an owner that shuts down refuses what it cannot finish for other hosts", "[session-fleet][stop]") {
    session_fleet fleet(fleet_options{.service_time = millis{24}, .connections = 64});
    fleet.run_for(start_time);
    const auto owner = fleet.host("host-0").owners.at("db0-0");
    const auto entry = owner == "host-1" ? host_id("host-2") : host_id("host-1");
    std::vector<paced_transaction> items;
    for (int i = 0; i < 40; ++i) {
        items.push_back(
            {fleet.open_session(entry, consistency::primary), "t" + std::to_string(i), fleet.now(), millis{450 + i * 2}});
    }
    const auto run_until_time = [&](instant end) {
        while (fleet.now() < end) {
            fleet.run_for(millis{5});
            for (auto& item : items) {
                advance(fleet, item);
            }
        }
    };
    // The transactions begin before the owner shuts down, so they run on its connections. Without the shutdown, they would commit
    // around the end of its grace period.
    run_until_time(fleet.now() + millis{700});
    fleet.stop_host(owner);
    run_until_time(fleet.now() + millis{7000});
    std::size_t done = 0;
    for (const auto& item : items) {
        check_answers(fleet, item.session);
        for (const auto& received : fleet.caller(item.session).answers) {
            CHECK(received.answer.code != result_code::in_doubt);
            done += received.answer.code == result_code::none ? 1 : 0;
        }
    }
    CHECK(done > 0);
}

// Guards against requests that are on their way over a full link when a host closes its idle sessions: they would be read after
// the close and never answered.
TEST_CASE("a host that shuts down closes no idle session while requests to it are on their way for long",
          "[session-fleet][stop]") {
    const auto coordinates = GENERATE(false, true);
    const auto delay = GENERATE(millis{0}, millis{250}, millis{400});
    const auto full_from = GENERATE(millis{900}, millis{1300}, millis{1450});
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto coordinator = fleet.host("host-3").catalog.coordinator->record.host.id;
    const auto host = coordinates ? coordinator : coordinator == "host-3" ? host_id("host-4") : host_id("host-3");
    CAPTURE(host, coordinates, delay.count, full_from.count);
    std::vector<session_id> sessions;
    for (int i = 0; i < 40; ++i) {
        sessions.push_back(fleet.open_session(host, consistency::primary));
    }
    const auto send_each = [&](int round) {
        const auto id = "r" + std::to_string(round) + "-" + std::to_string(sessions.size());
        const auto session = sessions.at(static_cast<std::size_t>(round) % sessions.size());
        if (!fleet.caller(session).closed && fleet.caller(session).order.empty()) {
            fleet.send(session, read_statement(id, "item"));
        }
    };
    fleet.stop_host(host);
    const auto stopped = fleet.now();
    constexpr millis full_time{600};
    for (int round = 0; fleet.now() - stopped < millis{5200}; ++round) {
        const auto spent = fleet.now() - stopped;
        // The queue of a link that is no longer full drains; nothing overtakes what waits in it.
        const auto drained = std::max(millis{0}, std::min(delay, full_from + full_time + delay - spent));
        fleet.link_delays[host] = spent >= full_from ? drained : millis{0};
        send_each(round);
        fleet.run_for(millis{5});
    }
    for (const auto session : sessions) {
        const auto& caller = fleet.caller(session);
        CHECK(caller.closed);
        // Once the link is free again, sessions do not stay open for long.
        CHECK(caller.closed_at - stopped < full_from + full_time + delay + millis{700});
        for (const auto& id : caller.order) {
            CAPTURE(id, (caller.asked.at(id) - stopped).count, (caller.closed_at - stopped).count);
            CHECK(caller.closed_at - caller.asked.at(id) < loss_slack);
        }
    }
}
