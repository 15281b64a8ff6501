#include "camphorstack/catalog/collection_watch.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/support/errors.hpp"

using namespace camphorstack;

namespace {

collection_watch make_watch() {
    collection_watch watch;
    watch.collection_id = collection::evacuations;
    watch.settings = {millis{1000}, millis{0}, millis{500}, millis{200}, millis{3000}, millis{200}};
    return watch;
}

catalog_answer answer_to(const catalog_call& call, store_revision revision, std::vector<catalog_item> items = {}) {
    catalog_answer answer;
    answer.id = call.id;
    answer.status = catalog_status::done;
    answer.revision = revision;
    answer.items = std::move(items);
    return answer;
}

catalog_item item(const std::string& name, store_revision revision) {
    return {name, revision, evacuation_item{}, {}};
}

}  // namespace

TEST_CASE("a collection is listed page by page, then watched from the list's revision", "[collection-watch]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    auto calls = due_calls(watch, next, instant{0});
    REQUIRE(calls.size() == 1);
    auto page = answer_to(calls[0], 40, {item("a", 5)});
    page.more = true;
    CHECK_FALSE(receive_answer(watch, page, instant{5}));
    calls = due_calls(watch, next, instant{5});
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].name == "a");
    const auto update = receive_answer(watch, answer_to(calls[0], 44, {item("b", 6)}), instant{10});
    REQUIRE(update);
    CHECK((update->complete && update->items.size() == 2));
    // The watch starts from the first page's revision, so it may repeat changes made between the pages but misses none.
    CHECK(watch.revision == 40);
    CHECK(watch.evidence == instant{0});
    calls = due_calls(watch, next, instant{10});
    REQUIRE(calls.size() == 1);
    CHECK((calls[0].operation == catalog_operation::watch && calls[0].revision == 40));
}

TEST_CASE("an answer without changes advances the evidence, but not the revision from which watches start",
          "[collection-watch]") {
    // Guards against missed changes: the store may leave changes out of a watch's answer although its revision includes them.
    auto watch = make_watch();
    std::uint64_t next = 1;
    receive_answer(watch, answer_to(due_calls(watch, next, instant{0})[0], 40), instant{5});
    auto call = due_calls(watch, next, instant{10})[0];
    CHECK_FALSE(receive_answer(watch, answer_to(call, 90), instant{1010}));
    // The watch may have heard nothing for `watch_blind_time`, so the list still proves more.
    CHECK(watch.evidence == instant{0});
    call = due_calls(watch, next, instant{1010})[0];
    CHECK_FALSE(receive_answer(watch, answer_to(call, 90), instant{1040}));
    CHECK(watch.evidence == instant{10});
    const auto again = due_calls(watch, next, instant{1040})[0];
    CHECK(again.revision == 40);
    // Another host's evidence names a newer change, so it must not be adopted. When a host took the store's revision in an answer
    // without changes as known, a read ran at a former primary (scale-1 of hrna-camphor).
    receive_evidence(watch, {collection::evacuations, 80, millis{10}}, instant{1050}, instant{1060});
    CHECK(watch.evidence == instant{10});
    CHECK(watch.list_wanted);
    watch.list_wanted = false;
    CHECK(receive_answer(watch, answer_to(again, 95, {item("a", 80)}), instant{1100}));
    CHECK(due_calls(watch, next, instant{1100})[0].revision == 95);
}

// Guards against a large document that a host with a slow link never reads whole.
TEST_CASE("an answer that has begun gets time for the rest of it", "[collection-watch]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    const auto listing = due_calls(watch, next, instant{0})[0];
    receive_answer_begun(watch, {listing.id});
    CHECK(due_calls(watch, next, instant{4000}).empty());
    SECTION("and is taken") {
        CHECK(receive_answer(watch, answer_to(listing, 40, {item("a", 30)}), instant{4100}));
        CHECK(watch.evidence == instant{0});
    }
    SECTION("but not without end") {
        CHECK(due_calls(watch, next, instant{500} + answer_transfer_timeout).size() == 1);
        CHECK_FALSE(owns_call(watch, listing.id));
    }
}

// Guards against objects that come back, or vanish, when an answer arrives after a later one.
TEST_CASE("an answer that is older than what is known changes nothing", "[collection-watch]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    receive_answer(watch, answer_to(due_calls(watch, next, instant{0})[0], 40, {item("a", 30)}), instant{5});
    const auto watching = due_calls(watch, next, instant{10})[0];
    want_list(watch, instant{20});
    const auto listing = due_calls(watch, next, instant{20})[0];
    REQUIRE(listing.operation == catalog_operation::list);
    SECTION("a list that lacks a change that the watch has reported") {
        REQUIRE(receive_answer(watch, answer_to(watching, 60, {item("b", 60)}), instant{30}));
        CHECK_FALSE(receive_answer(watch, answer_to(listing, 50, {item("a", 30)}), instant{40}));
        CHECK(watch.evidence == instant{20});
        CHECK(due_calls(watch, next, instant{40}).at(0).revision == 60);
    }
    SECTION("a watch that reports a removal from before the list") {
        REQUIRE(receive_answer(watch, answer_to(listing, 60, {item("a", 55)}), instant{30}));
        auto removal = answer_to(watching, 50);
        removal.removed = {"a"};
        CHECK_FALSE(receive_answer(watch, removal, instant{40}));
        CHECK(due_calls(watch, next, instant{40}).at(0).revision == 60);
    }
}

// Guards against evidence that covers a change which happened between two pages of a list.
TEST_CASE("a change between the pages of a list is not taken as known", "[collection-watch]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    auto page = answer_to(due_calls(watch, next, instant{0})[0], 40, {item("a", 5)});
    page.more = true;
    receive_answer(watch, page, instant{5});
    REQUIRE(receive_answer(watch, answer_to(due_calls(watch, next, instant{5})[0], 60, {item("b", 55)}), instant{10}));
    // The other host also knows of a change of "a" at revision 50.
    const collection_evidence reported{collection::evacuations, 55, millis{10}};
    CHECK(lacks_change(watch, reported));
    receive_evidence(watch, reported, instant{500}, instant{510});
    CHECK(watch.evidence == instant{0});
    CHECK(watch.list_wanted);
}

TEST_CASE("lost answers, refusals and dropped history lead to new calls", "[collection-watch]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    receive_answer(watch, answer_to(due_calls(watch, next, instant{0})[0], 40), instant{5});
    const auto call = due_calls(watch, next, instant{10})[0];
    SECTION("no answer") {
        CHECK(due_calls(watch, next, instant{1500}).empty());
        const auto calls = due_calls(watch, next, instant{1510});
        REQUIRE(calls.size() == 1);
        CHECK_FALSE(watch.reachable);
        // A late answer to the call that timed out is not accepted as an answer to the new call.
        CHECK_FALSE(owns_call(watch, call.id));
    }
    SECTION("refusal") {
        auto refused = answer_to(call, 0);
        refused.status = catalog_status::refused;
        receive_answer(watch, refused, instant{20});
        CHECK(due_calls(watch, next, instant{219}).empty());
        CHECK(due_calls(watch, next, instant{220}).size() == 1);
    }
    SECTION("history gone") {
        auto history_answer = answer_to(call, 0);
        history_answer.status = catalog_status::history_gone;
        receive_answer(watch, history_answer, instant{20});
        CHECK(due_calls(watch, next, instant{20})[0].operation == catalog_operation::list);
    }
    SECTION("old evidence") {
        auto calls = due_calls(watch, next, instant{3000});
        CHECK(std::ranges::count(calls, catalog_operation::list, &catalog_call::operation) == 1);
    }
}

TEST_CASE("another host's evidence is adopted only if this host knows all changes that the other host knows",
          "[collection-watch]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    receive_answer(watch, answer_to(due_calls(watch, next, instant{0})[0], 40, {item("a", 30)}), instant{5});
    due_calls(watch, next, instant{5});
    receive_evidence(watch, {collection::evacuations, 30, millis{100}}, instant{1000}, instant{1010});
    CHECK(watch.evidence == instant{900});
    receive_evidence(watch, {collection::evacuations, 55, millis{10}}, instant{2000}, instant{2010});
    CHECK(watch.evidence == instant{900});
    CHECK(due_calls(watch, next, instant{2010}).at(0).operation == catalog_operation::list);
}

TEST_CASE("fleet records are read as they were written, and malformed ones are rejected", "[fleet-record]") {
    const member host{"a", "10.0.0.1:1", "10.0.0.1:2", "amman-a"};
    for (const fleet_record& record :
         std::vector<fleet_record>{coordinator_record{host, "nonce", 7}, members_record{{3, {host}}, {{"a", 4}}, {"b"}, 6},
                                   unreachable_claim{"a", 4}, leader_record{"db", "i-1", leader_phase::changing, true, 9}}) {
        CHECK(parse_fleet_record(object_name(record), to_text(record)) == record);
    }
    for (const auto* text : {"", "[]", "{}", R"({"database":"db","endpoint":"i","phase":"asleep","round":1})",
                             R"({"database":"other","endpoint":"i","phase":"serving","round":1})",
                             R"({"database":"db","endpoint":"i","phase":"serving","round":-1})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parse_fleet_record("leader-db", text), format_error);
    }
    CHECK_THROWS_AS(parse_fleet_record("members", R"({"epoch":1,"hosts":[7],"unreachable":[],"leaving":[],"absences":0})"),
                    format_error);
    CHECK_THROWS_AS(parse_fleet_record("coordinator", R"({"fence":1})"), format_error);
}

// Guards against every host calling the store once for each of many simultaneous changes; this caused 1,464 calls when 61 hosts
// started.
TEST_CASE("a collection without a watch is listed when another host knows a newer change, or its evidence is old",
          "[collection-watch]") {
    auto watch = make_watch();
    watch.settings.watch_time = millis{0};
    std::uint64_t next = 1;
    receive_answer(watch, answer_to(due_calls(watch, next, instant{0})[0], 40), instant{5});
    CHECK(due_calls(watch, next, instant{10}).empty());
    SECTION("one list for several newer changes") {
        receive_evidence(watch, {collection::evacuations, 60, millis{10}}, instant{150}, instant{200});
        const auto calls = due_calls(watch, next, instant{200});
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].operation == catalog_operation::list);
        receive_answer(watch, answer_to(calls[0], 70, {item("a", 50), item("b", 60)}), instant{205});
        receive_evidence(watch, {collection::evacuations, 60, millis{10}}, instant{650}, instant{700});
        CHECK(watch.evidence == instant{640});
        CHECK(due_calls(watch, next, instant{700}).empty());
    }
    SECTION("list once the evidence is old") {
        CHECK(due_calls(watch, next, instant{2999}).empty());
        CHECK(due_calls(watch, next, instant{3000}).size() == 1);
    }
}

// Guards against every host calling an unavailable store three times a second for each of its four collections.
TEST_CASE("the delay between failed calls grows, and the first answer resets it", "[collection-watch]") {
    auto watch = make_watch();
    watch.settings.watch_time = millis{0};
    watch.settings.max_retry_interval = millis{1600};
    std::uint64_t next = 1;
    const auto refuse = [&](instant at) {
        const auto calls = due_calls(watch, next, at);
        REQUIRE(calls.size() == 1);
        catalog_answer refusal;
        refusal.id = calls[0].id;
        refusal.status = catalog_status::refused;
        receive_answer(watch, refusal, at);
    };
    instant at{0};
    for (const std::int64_t delay : {200, 400, 800, 1600, 1600}) {
        refuse(at);
        CHECK(due_calls(watch, next, at + millis{delay - 1}).empty());
        at = at + millis{delay};
    }
    SECTION("an answer for another collection ends the delay") {
        refuse(at);
        retry_now(watch, millis{5}, at + millis{10});
        CHECK(due_calls(watch, next, at + millis{10}).size() == 1);
    }
    SECTION("an answer resets the delay") {
        receive_answer(watch, answer_to(due_calls(watch, next, at)[0], 40), at);
        at = at + millis{3000};
        refuse(at);
        CHECK(due_calls(watch, next, at + millis{199}).empty());
        CHECK_FALSE(due_calls(watch, next, at + millis{200}).empty());
    }
}

// Guards against a host that never starts although the store answers, because each answer takes longer than the time limit.
TEST_CASE("every second list without an answer in time gets a longer time limit", "[collection-watch][start]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    instant at{0};
    for (const std::int64_t limit : {500, 1000, 500, 2000, 500}) {
        const auto calls = due_calls(watch, next, at);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].answer_timeout == millis{limit});
        CHECK(due_calls(watch, next, at + millis{limit - 1}).empty());
        at = at + millis{limit};
    }
    const auto extended = due_calls(watch, next, at);
    REQUIRE(extended.size() == 1);
    REQUIRE(extended[0].answer_timeout == millis{2000});
    SECTION("an answer within the longer limit counts, and the usual limit applies again") {
        CHECK(receive_answer(watch, answer_to(extended[0], 40), at + millis{1900}));
        CHECK(watch.expired_lists == 0);
    }
    SECTION("the call is given up when the store has answered another one sooner") {
        retry_now(watch, millis{5}, at + millis{504});
        CHECK(due_calls(watch, next, at + millis{504}).empty());
        retry_now(watch, millis{5}, at + millis{505});
        CHECK(due_calls(watch, next, at + millis{505}).size() == 1);
    }
}

// Guards against a removed endpoint or a withdrawn evacuation that is in use again, because changes that another host sent
// earlier were applied after a newer answer of the store.
TEST_CASE("changes of another host are dropped if the store has answered meanwhile", "[collection-watch][catalog-relay]") {
    auto watch = make_watch();
    std::uint64_t next = 1;
    auto calls = due_calls(watch, next, instant{0});
    REQUIRE(receive_answer(watch, answer_to(calls[0], 40, {item("a", 5)}), instant{5}));
    const auto evidence = watch.evidence;
    const auto relayed = [&watch](std::uint64_t call) {
        relayed_changes changes;
        changes.known = 40;
        changes.call = call;
        changes.update = {false, {}, {"a"}};
        changes.revision = 50;
        changes.last_change = 50;
        changes.evidence = instant{8};
        watch.decoding = changes;
    };
    catalog_answer decoded;
    decoded.status = catalog_status::done;

    SECTION("they are applied otherwise") {
        relayed(900);
        decoded.id = 900;
        decoded.items = {item("b", 50)};
        const auto update = receive_answer(watch, decoded, instant{10});
        REQUIRE(update);
        CHECK((update->items == decoded.items && update->removed == std::vector<std::string>{"a"}));
        CHECK((watch.revision == 50 && watch.last_change == 50 && watch.evidence == instant{8}));
    }
    SECTION("dropped after a newer list") {
        relayed(901);
        want_list(watch, instant{9});
        calls = due_calls(watch, next, instant{9});
        const auto list = std::ranges::find(calls, catalog_operation::list, &catalog_call::operation);
        REQUIRE(list != calls.end());
        REQUIRE(receive_answer(watch, answer_to(*list, 60, {item("a", 55)}), instant{10}));
        decoded.id = 901;
        CHECK_FALSE(receive_answer(watch, decoded, instant{11}));
        CHECK((watch.revision == 60 && !watch.decoding));
    }
    SECTION("the store is asked if they cannot be decoded") {
        relayed(902);
        decoded.id = 902;
        decoded.status = catalog_status::no_answer;
        CHECK_FALSE(receive_answer(watch, decoded, instant{10}));
        CHECK(watch.evidence == evidence);
        calls = due_calls(watch, next, instant{10});
        CHECK(std::ranges::count(calls, catalog_operation::list, &catalog_call::operation) == 1);
    }
}
