#include "camphorstack/links/peer_codec.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

#include "camphorstack/support/errors.hpp"

using namespace camphorstack;

namespace {

const member host_a{"a", "127.0.0.1:7101", "127.0.0.1:8101", "amman-a"};
const member host_b{"b", "127.0.0.1:7102", "127.0.0.1:8102", "irbid-a"};

std::vector<peer_body> make_one_of_each() {
    const std::vector<member_update> updates{{host_a, member_state::alive, 3}, {host_b, member_state::dead, 9}};
    database_request request{"a-1-1",     "ws",  "db-1",      request_kind::statement, true, "once", "SELECT", {4, 17},
                             millis{250}, "t-1", millis{1500}};
    database_reply reply{"a-1-1", request_outcome::unknown, refusal::connection_lost, "rows", {4, 18}, "t-1", "db-1-a"};
    return {
        probe{7, 3, 2, updates},
        probe_answer{7, 3, 2, updates, {{"w1", 3, 2, true, millis{40}}, {"w2", 2, 1, false, millis{0}}}},
        relay_probe{"b", 8},
        relay_answer{"b", 8},
        document_request{},
        document_reply{5, std::string(1'000'000, 'd')},
        members_request{},
        members_reply{{6, {host_a, host_b}}},
        forward_request{request},
        forward_reply{reply},
        loan_request{1, "ws", 6, 5000, 2500, millis{500}},
        loan_grant{1, "ws", 6, 0, 2500, millis{500}},
        run_request{7,
                    "i-1",
                    "db",
                    "ws",
                    run_kind::write,
                    "5c0e",
                    "WRITE a b",
                    prepared_shape{"q2c", true},
                    log_position{3, 9},
                    {{"zone", "north"}},
                    12,
                    transaction_start::plain,
                    4,
                    millis{800},
                    millis{250},
                    millis{120},
                    1,
                    true},
        run_result{7,
                   run_outcome::failed,
                   result_code::failed,
                   "text",
                   {"row", ""},
                   "proof",
                   session_state::failed,
                   log_position{3, 10},
                   4,
                   millis{20},
                   true,
                   endpoint_self_report{true, 3, {3, 10}, millis{8}},
                   known_position{4, {3, 9}, millis{90}}},
        transaction_left{12},
        membership_report{host_a, "nonce", host_stage::leaving, {"i-1"}, 5},
        membership_answer{true, 5, {{collection::endpoints, 77, millis{300}}}},
        leader_closed{"db", 4},
        leader_update{{"db", "i-1", leader_phase::changing, true, 5}, 88},
        token_request{3, "ws", 2},
        token_grant{3, "ws", 1, millis{40}},
        catalog_request{4, collection::endpoints, 70, 77},
        catalog_reply{4, collection::endpoints, {true, {{"i-1", 77, "{}"}}, {"i-2"}}, 80, 77, millis{300}},
        coordinator_update{{host_a, "nonce", 9}, 90},
        usage_report{"n-1", instant{9}, 1700000000123, 1700000000100, {{340000000, {{"ws", 7}, {"ws-2", 1}}}, {340000001, {}}}},
        usage_receipt{12, instant{9}, 339999999, 1700000000101}};
}

}  // namespace

TEST_CASE("every peer message is unchanged after encoding and decoding", "[peer-codec][whole-answer]") {
    // Guards against a field that is missing in the schema, the writer or the reader.
    const auto bodies = make_one_of_each();
    REQUIRE(bodies.size() == std::variant_size_v<peer_body>);
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        REQUIRE(bodies[i].index() == i);
        const peer_message message{"a", bodies[i]};
        CHECK(decode(encode(message)) == message);
    }
}

// Guards against texts that are cut at a NUL, or changed because of their bytes, between two hosts.
TEST_CASE("texts with any bytes pass between hosts whole", "[peer-codec][whole-answer]") {
    const std::vector<std::string> texts{
        "",         std::string(1, '\0'),       std::string("a\0b", 3),        "a\nb", "a\rb", "\r\n",
        "\xff\xfe", std::string("\0\xff\n", 3), std::string(1'000'000, '\xff')};
    for (const auto& text : texts) {
        CAPTURE(text.size(), text.substr(0, 8));
        run_request request;
        request.id = 7;
        std::vector<peer_body> bodies;
        for (std::string run_request::*field : {&run_request::endpoint, &run_request::database, &run_request::workspace,
                                                &run_request::statement_id, &run_request::text}) {
            auto changed = request;
            changed.*field = text;
            bodies.emplace_back(changed);
        }
        auto prepared = request;
        prepared.prepared = prepared_shape{text, true};
        auto named = request;
        named.values = {{text, "value"}, {"name", ""}};
        auto valued = request;
        valued.values = {{"name", text}, {"", ""}};
        run_result result;
        result.text = text;
        run_result proved;
        proved.proof = text;
        run_result answered;
        answered.rows = {"", text, "", "end"};
        bodies.insert(bodies.end(), {prepared, named, valued, result, proved, answered});
        for (const auto& body : bodies) {
            CHECK((decode(encode({"a", body})) == peer_message{"a", body}));
        }
    }
}

TEST_CASE("a forwarded read without an age bound is not read as one with a bound of zero", "[peer-codec]") {
    database_request request;
    request.id = "a-1-2";
    const peer_message unbounded{"a", forward_request{request}};
    request.max_age = millis{0};
    const peer_message bounded{"a", forward_request{request}};
    CHECK(decode(encode(unbounded)) == unbounded);
    CHECK(decode(encode(bounded)) == bounded);
    CHECK(unbounded != bounded);
}

TEST_CASE("a message above the frame limit is not encoded", "[peer-codec]") {
    CHECK_THROWS_AS(encode({"a", document_reply{1, std::string(peer_frame_limit, 'x')}}), format_error);
}

TEST_CASE("an evidence age below zero is rejected, as it would make evidence look newer", "[peer-codec][key-withdrawal]") {
    CHECK_THROWS_AS(decode(encode({"a", probe_answer{1, 1, 1, {}, {{"w", 1, 1, true, millis{-1}}}}})), format_error);
}

TEST_CASE("a truncated frame is rejected unless only padding is missing", "[peer-codec]") {
    // The last bytes of a frame can be alignment padding; without the padding the message is still complete.
    constexpr std::size_t largest_padding = 3;
    const peer_message message{"a", probe{7, 3, 2, {{host_a, member_state::alive, 3}}}};
    const auto frame = encode(message);
    for (std::size_t length = 0; length < frame.size(); ++length) {
        std::optional<peer_message> read;
        try {
            read = decode(std::span(frame).first(length));
        } catch (const format_error&) {
            continue;
        }
        CHECK(read == message);
        CHECK(frame.size() - length <= largest_padding);
    }
}

TEST_CASE("mutated frames are read or rejected with format_error", "[peer-codec][fuzz]") {
    // Guards against reads outside of the frame (in the sanitizer build) and against exceptions other than format_error.
    constexpr int mutations = 10'000;
    std::mt19937_64 random(20'260'412);
    auto bodies = make_one_of_each();
    bodies[5] = document_reply{5, "small, so that mutations reach the tables"};
    std::size_t rejected = 0;
    for (int round = 0; round < mutations; ++round) {
        auto frame = encode({"host-a", bodies[static_cast<std::size_t>(round) % bodies.size()]});
        for (auto changes = 1 + random() % 8; changes > 0; --changes) {
            frame[random() % frame.size()] = static_cast<std::uint8_t>(random());
        }
        if (random() % 4 == 0) {
            frame.resize(random() % (frame.size() + 1));
        }
        try {
            (void)decode(frame);
        } catch (const format_error&) {
            ++rejected;
        }
    }
    CHECK(rejected > mutations / 4);
    CHECK(rejected < mutations);
}

TEST_CASE("a peer message carries names and texts with any bytes whole", "[peer-codec][odd-names]") {
    for (const auto& text : {std::string("a\0b", 3), std::string("\0", 1), std::string("a\r\nb"), std::string("\n"),
                             std::string(" a "), std::string("\xff\xc3\x01\x7f")}) {
        const peer_message relayed{
            "a", catalog_reply{4, collection::endpoints, {true, {{text, 77, text}}, {text}}, 80, 77, millis{3}}};
        CHECK(decode(encode(relayed)) == relayed);
        const peer_message leader{"a", leader_update{{text, text, leader_phase::changing, true, 5}, 88}};
        CHECK(decode(encode(leader)) == leader);
        run_request request;
        request.endpoint = request.workspace = request.statement_id = request.text = text;
        request.values = {{text, text}};
        const peer_message forwarded{"a", request};
        CHECK(decode(encode(forwarded)) == forwarded);
        const peer_message loan{"a", loan_request{1, text, 6, 5000, 2500, millis{500}}};
        CHECK(decode(encode(loan)) == loan);
    }
}
