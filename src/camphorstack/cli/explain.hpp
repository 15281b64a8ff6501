#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Prints the recent decisions of all hosts with the observations that they rested on.
int run_explain(const std::vector<std::string>& arguments);

[[nodiscard]] command explain_command();

}  // namespace camphorstack
