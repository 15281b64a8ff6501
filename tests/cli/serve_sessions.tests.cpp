#include "camphorstack/cli/serve_sessions.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "camphorstack/cli/command.hpp"
#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/support/errors.hpp"
#include "support/temporary_folder.hpp"

ABSL_DECLARE_FLAG(std::string, settings);

using namespace camphorstack;

namespace {

/// Starts a session host whose start must fail before it opens links.
int start(const std::string& settings_file) {
    absl::SetFlag(&FLAGS_settings, settings_file);
    return run_serve_sessions({}, [](const auto&, const auto&, const auto&) -> std::unique_ptr<session_links> {
        throw std::logic_error("the links must not be opened");
    });
}

}  // namespace

// Guards against a host that waits for ever for someone to write its settings.
TEST_CASE("a session host does not start with a settings file that is a pipe", "[cli][session-start]") {
    const tests::temporary_folder folder("session-start");
    const auto pipe = folder.path + "/settings";
    REQUIRE(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
    CHECK_THROWS_WITH(start(pipe), Catch::EndsWith("is not a regular file"));
}

// Guards against a host that runs, but has no descriptors left for its callers and its readiness page.
TEST_CASE("a session host does not start with too few descriptors", "[cli][session-start]") {
    rlimit usual{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit few{12, usual.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
    CHECK_THROWS_WITH(start("/dev/null"), "the limit of open files is 12: at least 64 are needed");
    REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
}

// Guards against a host that ends without a word when its log file reaches the limit on file sizes.
TEST_CASE("a session host ignores the signal of a file that is too large", "[cli][session-start]") {
    const tests::temporary_folder folder("session-start");
    const auto file = folder.path + "/settings";
    std::ofstream(file) << "unknown: 1\n";
    std::signal(SIGXFSZ, SIG_DFL);
    CHECK_THROWS_AS(start(file), format_error);
    CHECK(std::signal(SIGXFSZ, SIG_DFL) == SIG_IGN);
}

// Guards against a process that is aborted by an exception of a library.
TEST_CASE("a command that fails in a library ends with an error", "[cli][session-start]") {
    const std::vector<command> commands{
        {"fail", "", "", {}, {}, [](const auto&) -> int { throw std::runtime_error("no random numbers"); }}};
    std::ostringstream text;
    auto* const usual = std::cerr.rdbuf(text.rdbuf());
    const int code = run_command_line(commands, {"camphorstack", "fail"});
    std::cerr.rdbuf(usual);
    CHECK(code == exit_usage);
    CHECK(text.str() == "camphorstack fail: unexpected failure: no random numbers\n");
}
