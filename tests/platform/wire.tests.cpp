#include <catch2/catch.hpp>
#include <random>

#include "camphorstack/support/errors.hpp"
#include "platform/caller_wire.hpp"
#include "platform/endpoint_wire.hpp"
#include "platform/wire_words.hpp"
#include "support/mutation.hpp"

using namespace camphorstack;
using namespace camphorstack::platform;

namespace {

statement parsed(std::string_view line) {
    const auto message = parse_caller_line(line);
    REQUIRE(std::holds_alternative<statement>(message));
    return std::get<statement>(message);
}

const std::vector<std::string> caller_lines{
    "START lepu270 u3f1",
    "QUERY 5c0e READ 1a4",
    "QUERY 5c0e WRITE 1a4 some data here",
    "QUERY 5c0e BEGIN",
    "QUERY 5c0e BEGIN READ",
    "QUERY 5c0e COMMIT",
    "QUERY 5c0e ROLLBACK",
    "QUERY 5c0e SET name a value",
    "QUERY 5c0e PREPARE s1 WRITE q2c",
    "QUERY 5c0e EXECUTE s1 1a4 x",
    "QUERY 5c0e DEALLOCATE s1",
    "BYE",
};

/// Bytes for mutations: some have a meaning in the protocol, the others are not valid in it.
const std::string alphabet("- .19aEQ\r\n\t\x7f\xc3", 13);

const std::vector<std::string> endpoint_lines{
    "ROW qhzkwmtrbelo", "DONE 7.1f3.c.2b.90e1", "ERROR READONLY i-7f3a91c2",      "READY I 3.1209",
    "READY T -",        "READY E 3.1209",       "ROW replica 3 3.1209 0 12 2 17",
};

}  // namespace

TEST_CASE("callers' lines are parsed into statements", "[platform][caller-wire]") {
    CHECK(parsed("QUERY 5c0e READ 1a4").kind == statement_kind::read);
    CHECK(parsed("QUERY 5c0e READ 1a4").text == "READ 1a4");
    CHECK(parsed("QUERY 5c0e READ 1a4").id == "5c0e");
    CHECK(parsed("QUERY 5c0e WRITE 1a4 some data here").kind == statement_kind::write);
    CHECK(parsed("QUERY 5c0e BEGIN").kind == statement_kind::begin);
    CHECK(parsed("QUERY 5c0e BEGIN READ").kind == statement_kind::begin_read_only);
    CHECK(parsed("QUERY 5c0e COMMIT").kind == statement_kind::commit);
    CHECK(parsed("QUERY 5c0e ROLLBACK").kind == statement_kind::rollback);
    const auto set = parsed("QUERY 5c0e SET name a value");
    CHECK((set.kind == statement_kind::set_value && set.name == "name" && set.argument == "a value"));
    const auto prepare = parsed("QUERY 5c0e PREPARE s1 WRITE q2c");
    CHECK((prepare.kind == statement_kind::prepare && prepare.name == "s1" && prepare.argument == "q2c" && prepare.writes));
    const auto execute = parsed("QUERY 5c0e EXECUTE s1 1a4 x y");
    CHECK((execute.kind == statement_kind::execute && execute.name == "s1" && execute.argument == "1a4 x y"));
    CHECK(parsed("QUERY 5c0e DEALLOCATE s1").kind == statement_kind::deallocate);
    CHECK(std::holds_alternative<caller_bye>(parse_caller_line("BYE")));
    CHECK(parse_caller_line("START lepu270 u3f1") == caller_message(caller_start{"lepu270", "u3f1"}));
}

TEST_CASE("text that is not a statement of the protocol is malformed", "[platform][caller-wire]") {
    // Guards against callers that send statements reserved for hosts, or inject a second line into a statement.
    for (const auto* text : {"AFTER 3.1 READ x",
                             "STATUS",
                             "RESET",
                             "PAUSE 9",
                             "DEMOTE 9",
                             "RESUME",
                             "",
                             "READ",
                             "READ ",
                             "WRITE",
                             "BEGIN WRITE",
                             "COMMIT now",
                             "PREPARE s1 READ",
                             "PREPARE s1 DROP x",
                             "EXECUTE s1",
                             "DEALLOCATE",
                             "read x",
                             "\nREAD x",
                             "READ\nx",
                             "COMMIT\r",
                             "BEGIN\n",
                             "ROLLBACK\n"}) {
        CAPTURE(text);
        CHECK(parsed(std::string("QUERY 5c0e ") + text).kind == statement_kind::malformed);
    }
    CHECK(parsed("QUERY - READ x").kind == statement_kind::malformed);
    // An item or data may hold any byte, and stays part of one statement.
    CHECK(parsed(std::string_view("QUERY 1 READ x\0y", 16)).text == std::string_view("READ x\0y", 8));
    CHECK(parsed("QUERY 1 READ x\rQUERY 1 READ y").text == "READ x\rQUERY 1 READ y");
    CHECK(parsed("QUERY 1 READ a b").text == "READ a b");
    for (const auto* line : {"", "HELLO", "START", "query 1 READ x", "GET / HTTP/1.1"}) {
        CAPTURE(line);
        CHECK(std::holds_alternative<caller_invalid_line>(parse_caller_line(line)));
    }
}

TEST_CASE("answers are formatted as lines of the protocol", "[platform][caller-wire]") {
    answer_statement answer;
    answer.rows = {"a", "b"};
    answer.proof = "7.1";
    answer.state = session_state::in_transaction;
    answer.position = log_position{3, 9};
    CHECK(answer_lines(answer) == "ROW a\r\nROW b\r\nDONE 7.1\r\nREADY T 3.9\r\n");
    answer.code = result_code::busy;
    answer.text = "come\r\nback\r\n";
    CHECK(answer_lines(answer) == "ERROR BUSY come  back  \r\nREADY T 3.9\r\n");
    answer.text = "one\nfield\r";
    CHECK(answer_lines(answer) == "ERROR BUSY one\nfield\r\r\nREADY T 3.9\r\n");
    CHECK(session_accepted_lines() == "READY I -\r\n");
    CHECK(session_rejected_line(result_code::no_database, "unknown") == "ERROR NODB unknown\r\n");
}

TEST_CASE("each code has its own word and is parsed back from it", "[platform][wire-words]") {
    for (const auto code :
         {result_code::busy, result_code::lagging, result_code::read_only, result_code::misrouted, result_code::too_many,
          result_code::no_statement, result_code::failed, result_code::timeout, result_code::in_doubt, result_code::aborted,
          result_code::not_authorized, result_code::no_database, result_code::too_large, result_code::malformed}) {
        CHECK(parse_code(to_word(code)) == code);
    }
    CHECK(parse_code("SOMETHING") == result_code::failed);
    CHECK(parse_position("3.1209") == log_position{3, 1209});
    for (const auto* word : {"-", "", "3", "3.", ".4", "3.x", "-1.2", "3.4.5"}) {
        CAPTURE(word);
        CHECK_FALSE(parse_position(word));
    }
}

TEST_CASE("statements are formatted as lines to an endpoint", "[platform][endpoint-wire]") {
    open_endpoint_connection open{1, "i-7f3a91c2", "huvo11a", "10.0.0.1:1", "tenant"};
    CHECK(start_line(open) == "START huvo11a tenant i-7f3a91c2\r\n");
    open.workspace.clear();
    CHECK(start_line(open) == "START huvo11a - i-7f3a91c2\r\n");
    CHECK(statement_line({endpoint_command::statement, "5c0e", "READ 1a4", "", false, log_position{3, 7}}) ==
          "QUERY 5c0e AFTER 3.7 READ 1a4\r\n");
    CHECK(statement_line({endpoint_command::execute, "5c0e", "1a4 x", "w_q", false, {}}) == "QUERY 5c0e EXECUTE w_q 1a4 x\r\n");
    CHECK(statement_line({endpoint_command::begin_read_only, "", "", "", false, log_position{3, 7}}) ==
          "QUERY - AFTER 3.7 BEGIN READ\r\n");
    CHECK(statement_line({endpoint_command::begin, "", "", "", false, {}}) == "QUERY - BEGIN\r\n");
    CHECK(statement_line({endpoint_command::rollback, "", "", "", false, {}}) == "QUERY - ROLLBACK\r\n");
    CHECK(statement_line({endpoint_command::reset, "", "", "", false, {}}) == "QUERY - RESET\r\n");
    CHECK(statement_line({endpoint_command::set_value, "", "north", "zone", false, {}}) == "QUERY - SET zone north\r\n");
    CHECK(statement_line({endpoint_command::prepare, "", "q", "w_q", true, {}}) == "QUERY - PREPARE w_q WRITE q\r\n");
    CHECK(statement_line({endpoint_command::status, "", "", "", false, {}}) == "QUERY - STATUS\r\n");
    CHECK(statement_line({endpoint_command::demote, "", "7", "", false, {}}) == "QUERY - DEMOTE 7\r\n");
}

TEST_CASE("an endpoint's lines are assembled into replies", "[platform][endpoint-wire]") {
    endpoint_reply_reader reader;
    const auto is_incomplete = [](const endpoint_message& message) { return std::holds_alternative<std::monostate>(message); };
    CHECK(reader.take("READY I 3.1207") == endpoint_message(endpoint_greeting{log_position{3, 1207}}));
    CHECK(is_incomplete(reader.take("ROW qhzkwmtrbelo")));
    CHECK(is_incomplete(reader.take("DONE 7.1f3")));
    const auto reply = std::get<endpoint_reply>(reader.take("READY I 3.1209"));
    CHECK(reply.rows == std::vector<std::string>{"qhzkwmtrbelo"});
    CHECK(reply.proof == "7.1f3");
    CHECK(reply.position == log_position{3, 1209});
    CHECK(is_incomplete(reader.take("ERROR READONLY i-7f3a91c2")));
    CHECK(reader.pending_error() == result_code::read_only);
    const auto failed = std::get<endpoint_reply>(reader.take("READY E 3.1209"));
    CHECK(failed.code == result_code::read_only);
    CHECK(failed.state == session_state::failed);
    CHECK(is_incomplete(reader.take("ROW primary 3 3.1209 0 12 2 17")));
    CHECK(is_incomplete(reader.take("DONE -")));
    const auto status = std::get<endpoint_reply>(reader.take("READY I 3.1204"));
    REQUIRE(status.status);
    CHECK((status.status->is_primary && status.status->term == 3 && status.status->received == log_position{3, 1209}));
    CHECK(status.status->lag == millis{12});
    // A READY line without an outcome is no success.
    CHECK(std::holds_alternative<endpoint_greeting>(reader.take("READY I 3.1204")));
    CHECK(is_incomplete(reader.take("ROW half")));
    CHECK_THROWS_AS(reader.take("READY I 3.1204"), format_error);
    // A truncated reply must not be completed by the lines of the next reply.
    endpoint_reply_reader truncated;
    CHECK(is_incomplete(truncated.take("DONE 1")));
    CHECK_THROWS_AS(truncated.take("ROW late"), format_error);
}

TEST_CASE("a row that is no status is not read as one", "[platform][endpoint-wire]") {
    const auto row = GENERATE(as<std::string>(), "leader 3 3.1 0 0 0 0", "primary x 3.1 0 0 0 0", "primary 3 - 0 0 0 0",
                              "primary 3 3.1 0 -1 0 0", "primary 3 3.1 0 9223372036854775808 0 0", "primary", "");
    CAPTURE(row);
    endpoint_reply_reader reader;
    reader.take("ROW " + row);
    reader.take("DONE -");
    CHECK_FALSE(std::get<endpoint_reply>(reader.take("READY I -")).status);
}

TEST_CASE("randomly mutated lines are parsed or rejected", "[platform][fuzz]") {
    // Guards against crashes and undefined behaviour in the parsers. CI runs this test under the sanitizers.
    std::mt19937_64 random(11);
    for (int i = 0; i < 20000; ++i) {
        const auto caller = mutate(caller_lines[random() % caller_lines.size()], alphabet, random);
        if (caller.find("\r\n") != std::string::npos) {
            continue;  // Two messages for the socket.
        }
        const auto message = parse_caller_line(caller);
        if (const auto* wanted = std::get_if<statement>(&message);
            wanted != nullptr && wanted->kind != statement_kind::malformed) {
            REQUIRE(caller.ends_with(" " + wanted->text));
            REQUIRE(statement_line({endpoint_command::statement, wanted->id, wanted->text, "", false, {}}) == caller + "\r\n");
            REQUIRE(wanted->id.find(' ') == std::string::npos);
        }
        endpoint_reply_reader reader;
        try {
            reader.take(mutate(endpoint_lines[random() % endpoint_lines.size()], alphabet, random));
        } catch (const format_error&) {
            continue;
        }
    }
}
