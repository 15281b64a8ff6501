#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <glib/gstdio.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <iostream>
#include <sstream>

#include "camphorstack/cli/apply.hpp"
#include "camphorstack/cli/check.hpp"
#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/explain.hpp"
#include "camphorstack/cli/status.hpp"
#include "camphorstack/document/sections.hpp"
#include "document/sample_document.hpp"
#include "stand_ins/platform_server.hpp"

ABSL_DECLARE_FLAG(std::string, platform);
ABSL_DECLARE_FLAG(std::string, host);
ABSL_DECLARE_FLAG(std::int64_t, read_version);
ABSL_DECLARE_FLAG(bool, show);

using namespace camphorstack;

namespace {

/// Exit code of a command and what it printed on both streams.
struct command_output {
    int code = 0;
    std::string text;
};

template <typename Run>
command_output capture(Run run) {
    std::ostringstream text;
    auto* out = std::cout.rdbuf(text.rdbuf());
    auto* err = std::cerr.rdbuf(text.rdbuf());
    const int code = run();
    std::cout.rdbuf(out);
    std::cerr.rdbuf(err);
    return {code, text.str()};
}

/// A file that is removed with the object.
class temporary_file {
public:
    temporary_file(const std::string& ending, const std::string& content) {
        const g_text directory{g_dir_make_tmp("camphorstack-XXXXXX", nullptr)};
        this->folder = directory.get();
        this->path = this->folder + "/file" + ending;
        g_file_set_contents(this->path.c_str(), content.data(), static_cast<gssize>(content.size()), nullptr);
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;
    ~temporary_file() {
        g_remove(this->path.c_str());
        g_rmdir(this->folder.c_str());
    }

    std::string path;

private:
    std::string folder;
};

/// Runs `apply` in another thread while this thread runs the platform server.
command_output apply_while_serving(const std::vector<std::string>& arguments) {
    return capture([&] {
        auto result = std::async(std::launch::async, [&] { return run_apply(arguments); });
        while (result.wait_for(std::chrono::milliseconds{1}) != std::future_status::ready) {
            while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
            }
        }
        return result.get();
    });
}

const std::vector<command>& commands() {
    static const std::vector<command> all{check_command(), apply_command(), status_command(), explain_command()};
    return all;
}

}  // namespace

TEST_CASE("help is printed with exit code 0, wrong commands with 1", "[cli]") {
    const auto run = [](const std::vector<std::string>& arguments) {
        return capture([&] { return run_command_line(commands(), arguments); });
    };
    const auto list = run({"camphorstack", "--help"});
    CHECK(list.code == exit_ok);
    CHECK_THAT(list.text, Catch::Contains("  explain   show recent decisions"));
    const auto help = run({"camphorstack", "apply", "capacity", "--help"});
    CHECK(help.code == exit_ok);
    CHECK_THAT(help.text, Catch::Contains("--read_version  version of the section") && Catch::Contains("exit codes: 0 accepted"));
    CHECK(run({"camphorstack"}).code == exit_usage);
    CHECK(run({"camphorstack", "dance"}).code == exit_usage);
    CHECK_THAT(run({"camphorstack", "dance"}).text, Catch::Contains("unknown command \"dance\""));
    CHECK(run({"camphorstack", "status"}).code == exit_usage);
    CHECK(run({"camphorstack", "status", "extra"}).code == exit_usage);
}

TEST_CASE("every flag that a command lists exists", "[cli]") {
    for (const auto& entry : commands()) {
        for (const auto& flag : entry.flags) {
            INFO(entry.name);
            CHECK_THAT(describe_command(entry), Catch::Contains("  --" + flag + "  "));
        }
    }
}

TEST_CASE("check prints all errors of a settings file or a document", "[cli]") {
    const auto check = [](const std::string& path) { return capture([&] { return run_check({path}); }); };
    const temporary_file good{".json", sample_document()};
    CHECK(check(good.path).code == exit_ok);
    const temporary_file bad{".json", "{\n\"tenancy\": {\"colour\": 1,\n\"routes\": 5}}"};
    const auto errors = check(bad.path);
    CHECK(errors.code == exit_invalid);
    CHECK(errors.text ==
          bad.path + ": tenancy:2: routes: must be an array of objects\n" + bad.path + ": tenancy:2: colour: unknown field\n");
    const temporary_file settings{".yaml", "id: a\ncolour: red\n"};
    const auto wrong = check(settings.path);
    CHECK(wrong.code == exit_invalid);
    CHECK_THAT(wrong.text, Catch::StartsWith(settings.path + ":1: ") && Catch::Contains(":2: colour: unknown key\n"));
    CHECK(check("file.txt").code == exit_usage);
    CHECK(capture([] { return run_command_line(commands(), {"camphorstack", "check", "/nowhere.json"}); }).code == exit_usage);
}

// Guards against a client that reads the platform's HTTP answers differently from what the platform sends.
TEST_CASE("apply changes and shows a section over HTTP", "[cli][apply]") {
    stand_ins::platform_server server{"127.0.0.1:0"};
    absl::SetFlag(&FLAGS_platform, server.address());
    const sample_sections sections;
    const temporary_file file{".json", sections.data_centres};
    const auto first = apply_while_serving({"data_centres", file.path});
    CHECK(first.code == exit_ok);
    CHECK(first.text == "accepted version=1\n");
    CHECK(parse_document(server.model.objects.at("document").value, 1).data_centres.size() == 2);

    absl::SetFlag(&FLAGS_read_version, 0);
    const auto conflict = apply_while_serving({"data_centres", file.path});
    absl::SetFlag(&FLAGS_read_version, -1);
    CHECK(conflict.code == exit_conflict);
    CHECK(conflict.text == "section data_centres was read at version 0 but last changed at version 1\n");
    CHECK(apply_while_serving({"capacity", file.path}).code == exit_invalid);

    absl::SetFlag(&FLAGS_show, true);
    const auto shown = apply_while_serving({"data_centres"});
    absl::SetFlag(&FLAGS_show, false);
    CHECK_THAT(shown.text, Catch::Contains("read_version=1") && Catch::Contains("\"irbid-a\""));

    server.faults.down = true;
    CHECK(apply_while_serving({"data_centres", file.path}).code == exit_unreachable);
    absl::SetFlag(&FLAGS_platform, "");
}

TEST_CASE("status and explain report that a host does not answer", "[cli]") {
    absl::SetFlag(&FLAGS_host, "127.0.0.1:1");
    CHECK(capture([] { return run_status({}); }).code == exit_unreachable);
    CHECK(capture([] { return run_explain({}); }).code == exit_unreachable);
    absl::SetFlag(&FLAGS_host, "");
}

TEST_CASE("explain prints a request's lines from log files, or reports that no log names the request", "[cli][explain]") {
    const temporary_file log{".log", "t=1 event=request_failed request=77 code=busy\n"};
    const auto run = [&log](const std::string& request) {
        return capture([&] {
            return run_command_line(commands(), {"camphorstack", "explain", "--request=" + request, log.path});
        });
    };
    const auto found = run("77");
    CHECK(found.code == exit_ok);
    CHECK_THAT(found.text, Catch::Contains("> t=1 event=request_failed"));
    CHECK(run("78").code == exit_invalid);
    // Flags keep their values for the rest of the process, so this call resets the flag.
    CHECK(run("").code == exit_usage);
}
