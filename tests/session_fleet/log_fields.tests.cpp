#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>

#include "camphorstack/cli/request_trace.hpp"
#include "camphorstack/support/decision_log.hpp"
#include "session_fleet/session_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::session_tests;

namespace {

constexpr millis start_time{5000};

class stopped_clock final : public clock {
public:
    [[nodiscard]] instant now() const override { return instant{1000}; }
};

/// Writes the fleet's entries with a decision log, and returns the lines.
process_log write_log(const session_fleet& fleet) {
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
    REQUIRE(file);
    const stopped_clock time;
    decision_log log(time, fileno(file.get()), {100'000, 100'000});
    for (const auto& entry : fleet.log) {
        const auto host = entry.find(' ') + 1;
        const auto kind = entry.find(' ', host) + 1;
        const auto text = entry.find(' ', kind) + 1;
        log.write(entry.substr(kind, text - 1 - kind), entry.substr(text), true);
    }
    std::string lines(static_cast<std::size_t>(std::ftell(file.get())), '\0');
    std::rewind(file.get());
    lines.resize(std::fread(lines.data(), 1, lines.size(), file.get()));
    return {"fleet.log", lines};
}

std::size_t count_request_lines(const process_log& log, const std::string& request) {
    const auto trace = trace_request({log}, request);
    return static_cast<std::size_t>(std::ranges::count_if(trace, [](const auto& line) { return line.is_request; }));
}

}  // namespace

// Guards against requests that cannot be found in the log because of the bytes of their ids.
TEST_CASE("requests are found in the log by ids with any bytes", "[session-fleet][log-fields]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-0", consistency::primary);
    const std::vector<std::string> ids{"\"",
                                       "\"quoted",
                                       "a\"b",
                                       "a=b",
                                       "code=none",
                                       "a\tb",
                                       "a\nb",
                                       "a\\b",
                                       "\xff",
                                       std::string("a\0b", 3),
                                       std::string(300, 'x')};
    for (const auto& id : ids) {
        REQUIRE(fleet.ask(session, read_statement(id, "item")).code == result_code::none);
    }
    const auto log = write_log(fleet);
    for (const auto& id : ids) {
        CAPTURE(id);
        CHECK(count_request_lines(log, id) == 1);
    }
    CHECK(count_request_lines(log, "a?b") == 0);
}

// Guards against ids and texts of others that add fields to a line, or hide its own.
TEST_CASE("texts of callers and instances forge no fields of the log", "[session-fleet][log-fields]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-0", consistency::primary);
    fleet.database(0).error_text = "x request=in-text \" request=after-quote left_out=9\n" + std::string(5000, '"');
    REQUIRE(fleet.ask(session, read_statement(std::string(5000, '"'), "item")).code == result_code::failed);
    REQUIRE(fleet.ask(session, read_statement("failing", "item")).code == result_code::failed);
    const auto log = write_log(fleet);
    CHECK(count_request_lines(log, "failing") == 1);
    CHECK(count_request_lines(log, std::string(5000, '"')) == 1);
    CHECK(count_request_lines(log, "in-text") == 0);
    CHECK(count_request_lines(log, "after-quote") == 0);
    for (const auto& line : trace_request({log}, std::string(5000, '"'))) {
        CHECK((!line.is_request || line.text.find(" code=failed ") != std::string::npos));
    }
}

// Guards against a log that does not tell whose write a read lacks, and why the read ran where it did.
TEST_CASE("the log names the session of a request and the positions that decided where it ran", "[session-fleet][log-fields]") {
    session_fleet fleet;
    fleet.run_for(start_time);
    const auto session = fleet.open_session("host-3", consistency::read_your_writes);
    REQUIRE(fleet.ask(session, write_statement("w", "item", "1")).code == result_code::none);
    fleet.run_for(millis{700});
    REQUIRE(fleet.ask(session, read_statement("r", "item")).code == result_code::none);
    const auto line_of = [&](const std::string& request) {
        const auto found = std::ranges::find_if(
            fleet.log, [&](const auto& entry) { return entry.find(" request=" + request + " ") != std::string::npos; });
        return found == fleet.log.end() ? std::string() : *found;
    };
    CHECK_THAT(line_of("w"), Catch::Contains(" session=" + std::to_string(session) + " "));
    CHECK_THAT(line_of("w"), Catch::Contains(" after=none ") && Catch::EndsWith(" position=1.1"));
    CHECK_THAT(line_of("r"), Catch::Contains(" session=" + std::to_string(session) + " "));
    CHECK_THAT(line_of("r"), Catch::Contains(" after=1.1 ") && Catch::EndsWith(" position=1.1"));
}
