#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Runs `camphorstack check`: checks a settings file or a document file and prints all errors. Returns the exit code.
int run_check(const std::vector<std::string>& arguments);

[[nodiscard]] command check_command();

}  // namespace camphorstack
