#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Runs `camphorstack explain`: prints the recent decisions of all hosts with the observations that they are based on, or the log
/// lines of one request. Returns the exit code.
int run_explain(const std::vector<std::string>& arguments);

[[nodiscard]] command explain_command();

}  // namespace camphorstack
