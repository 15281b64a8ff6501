#include "camphorstack/cli/apply.hpp"
#include "camphorstack/cli/check.hpp"
#include "camphorstack/cli/command.hpp"
#include "camphorstack/cli/explain.hpp"
#include "camphorstack/cli/load.hpp"
#include "camphorstack/cli/serve.hpp"
#include "camphorstack/cli/status.hpp"
#include "platform/serve_sessions.hpp"

/// The whole program, in the shared library that main.cpp loads. Returns the exit code.
extern "C" __attribute__((visibility("default"))) int run_camphorstack(int argc, char** argv) {
    using namespace camphorstack;
    const std::vector<command> commands{check_command(),
                                        apply_command(),
                                        status_command(),
                                        explain_command(),
                                        serve_command(),
                                        load_command(),
                                        platform::serve_sessions_command()};
    return run_command_line(commands, {argv, argv + argc});
}
