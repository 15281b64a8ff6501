#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "support/temporary_folder.hpp"

using namespace camphorstack;

namespace {

/// Starts the program, with the dynamic loader looking for libraries in `folder` first. Its messages go to `folder`/messages.
pid_t start_program(const std::string& command, const std::string& folder) {
    std::string program = CAMPHORSTACK_PROGRAM;
    std::string verb = command;
    std::string settings = "--settings=" + folder + "/missing.yaml";
    std::string libraries = "LD_LIBRARY_PATH=" + folder;
    const std::array<char*, 4> arguments{program.data(), verb.data(), settings.data(), nullptr};
    const std::array<char*, 2> environment{libraries.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (folder + "/messages").c_str(), O_WRONLY | O_CREAT,
                                     S_IRUSR | S_IWUSR);
    pid_t process = -1;
    const int failure = posix_spawn(&process, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(failure == 0);
    return process;
}

/// Waits until the loader has opened the pipe, which stands in for a library, and returns its other end.
int wait_for_loader(const std::string& pipe) {
    using namespace std::chrono_literals;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int writer = open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (writer >= 0) {
            return writer;
        }
        std::this_thread::sleep_for(10ms);
    }
    return -1;
}

struct ended_start {
    int status = 0;  ///< As of waitpid.
    std::string messages;
};

/// Sends `number` while the loader reads the first bytes of a library, which then turns out to be empty.
ended_start start_with_signal(const std::string& command, int number) {
    const tests::temporary_folder folder("start-signals");
    const auto library = folder.path + "/libsoup-3.0.so.0";
    REQUIRE(mkfifo(library.c_str(), S_IRUSR | S_IWUSR) == 0);
    const auto process = start_program(command, folder.path);
    const int writer = wait_for_loader(library);
    CHECK(writer >= 0);
    CHECK(kill(process, writer >= 0 ? number : SIGKILL) == 0);
    close(writer);
    ended_start result;
    REQUIRE(waitpid(process, &result.status, 0) == process);
    std::ostringstream text;
    text << std::ifstream(folder.path + "/messages").rdbuf();
    result.messages = text.str();
    return result;
}

}  // namespace

// Guards against a host that ends when its settings change while its libraries are loaded.
TEST_CASE("a starting session host ignores the signal of changed settings", "[cli][start-signals]") {
    const auto end = start_with_signal("serve-sessions", SIGHUP);
    INFO(end.messages);
    REQUIRE(WIFEXITED(end.status));
    CHECK(WEXITSTATUS(end.status) == 1);
    CHECK_THAT(end.messages, Catch::Contains("cannot load the program") && Catch::Contains("libsoup-3.0.so.0"));
}

TEST_CASE("a starting session host ends at the signal to stop", "[cli][start-signals]") {
    const auto end = start_with_signal("serve-sessions", SIGTERM);
    REQUIRE(WIFSIGNALED(end.status));
    CHECK(WTERMSIG(end.status) == SIGTERM);
}

// The commands of a terminal end with it.
TEST_CASE("other starting commands end at a hang-up", "[cli][start-signals]") {
    const auto end = start_with_signal("status", SIGHUP);
    REQUIRE(WIFSIGNALED(end.status));
    CHECK(WTERMSIG(end.status) == SIGHUP);
}
