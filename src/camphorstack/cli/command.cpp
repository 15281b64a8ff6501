#include "camphorstack/cli/command.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iostream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

bool is_help_argument(const std::string& argument) {
    return argument == "--help" || argument == "-help" || argument == "-h" || argument == "help";
}

/// Returns the names of flags that were given a value but are accepted only by other commands.
std::vector<std::string> find_flags_of_other_commands(const std::vector<command>& commands, const command& chosen) {
    std::vector<std::string> found;
    for (const auto& other : commands) {
        for (const auto& name : other.flags) {
            const auto* flag = absl::FindCommandLineFlag(name);
            const bool is_accepted = std::ranges::find(chosen.flags, name) != chosen.flags.end();
            if (!is_accepted && flag != nullptr && flag->CurrentValue() != flag->DefaultValue()) {
                found.push_back(name);
            }
        }
    }
    return found;
}

/// Adds the value from `bare_flags` to flags that were given without one; Abseil would take the next argument as the value.
std::vector<std::string> add_bare_flag_values(const command& chosen, std::vector<std::string> arguments) {
    for (auto& argument : arguments) {
        for (const auto& [name, value] : chosen.bare_flags) {
            if (argument == "--" + name) {
                argument += "=" + value;
            }
        }
    }
    return arguments;
}

std::vector<std::string> parse_flags(std::vector<std::string> arguments) {
    std::vector<char*> pointers;
    std::ranges::transform(arguments, std::back_inserter(pointers), [](std::string& text) { return text.data(); });
    const auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    return {rest.begin() + 1, rest.end()};
}

int run_chosen(const command& chosen, const std::vector<std::string>& arguments) {
    try {
        return chosen.run(arguments);
    } catch (const format_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_invalid;
    } catch (const error& failure) {
        std::cerr << "camphorstack " << chosen.name << ": " << failure.what() << '\n';
        return exit_usage;
    } catch (const std::exception& failure) {
        // Of a library, such as a lack of memory or of a source of random numbers.
        std::cerr << "camphorstack " << chosen.name << ": unexpected failure: " << failure.what() << '\n';
        return exit_usage;
    }
}

}  // namespace

std::string list_commands(const std::vector<command>& commands) {
    std::string text = "usage: camphorstack COMMAND [ARGUMENTS] [FLAGS]\n\ncommands:\n";
    constexpr std::size_t min_column = 10;
    std::size_t column = min_column;
    for (const auto& entry : commands) {
        column = std::max(column, entry.name.size() + 2);
    }
    for (const auto& entry : commands) {
        text += "  " + entry.name + std::string(column - std::min(column - 1, entry.name.size()), ' ') + entry.summary + "\n";
    }
    return text + "\n'camphorstack COMMAND --help' describes a command, its flags, examples and exit codes.\n";
}

std::string describe_command(const command& chosen) {
    std::string text = "camphorstack " + chosen.name + ": " + chosen.summary + "\n\n" + chosen.usage;
    text += chosen.flags.empty() ? "" : "\nflags:\n";
    for (const auto& name : chosen.flags) {
        if (const auto* flag = absl::FindCommandLineFlag(name); flag != nullptr) {
            text += "  --" + name + "  " + flag->Help() + " (default: \"" + flag->DefaultValue() + "\")\n";
        }
    }
    return text;
}

int run_command_line(const std::vector<command>& commands, const std::vector<std::string>& arguments) {
    if (arguments.size() < 2 || is_help_argument(arguments[1])) {
        (arguments.size() < 2 ? std::cerr : std::cout) << list_commands(commands);
        return arguments.size() < 2 ? exit_usage : exit_ok;
    }
    const auto chosen = std::ranges::find(commands, arguments[1], &command::name);
    if (chosen == commands.end()) {
        std::cerr << "unknown command \"" << arguments[1] << "\"\n" << list_commands(commands);
        return exit_usage;
    }
    if (std::any_of(arguments.begin() + 2, arguments.end(), is_help_argument)) {
        std::cout << describe_command(*chosen);
        return exit_ok;
    }
    auto rest = add_bare_flag_values(*chosen, arguments);
    rest.erase(rest.begin() + 1);
    const auto positional = parse_flags(rest);
    if (const auto other_flags = find_flags_of_other_commands(commands, *chosen); !other_flags.empty()) {
        std::cerr << "--" << other_flags.front() << " is not a flag of \"" << chosen->name << "\"\n";
        return exit_usage;
    }
    return run_chosen(*chosen, positional);
}

}  // namespace camphorstack
