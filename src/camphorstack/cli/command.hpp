#pragma once

#include <map>
#include <string>
#include <vector>

namespace camphorstack {

/// One command of the program.
struct command {
    std::string name;
    std::string summary;                            ///< One line for the list of commands.
    std::string usage;                              ///< Usage, examples and exit codes.
    std::vector<std::string> flags;                 ///< Names of the Abseil flags that the command accepts.
    std::map<std::string, std::string> bare_flags;  ///< Flags that may be given without a value, and the value that applies then.
    int (*run)(const std::vector<std::string>& arguments) = nullptr;  ///< Returns an exit code.
};

/// Runs the command that the arguments name; prints help and usage errors. Returns the exit code.
int run_command_line(const std::vector<command>& commands, const std::vector<std::string>& arguments);

/// Text of `camphorstack --help`.
[[nodiscard]] std::string list_commands(const std::vector<command>& commands);

/// Text of `camphorstack COMMAND --help`, with the help and default of each flag.
[[nodiscard]] std::string describe_command(const command& chosen);

}  // namespace camphorstack
