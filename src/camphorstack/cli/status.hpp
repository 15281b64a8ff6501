#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Runs `camphorstack status`: prints the merged status of all hosts of the fleet. Returns the exit code.
int run_status(const std::vector<std::string>& arguments);

[[nodiscard]] command status_command();

}  // namespace camphorstack
