#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Prints what all hosts of the fleet report of themselves, merged.
int run_status(const std::vector<std::string>& arguments);

[[nodiscard]] command status_command();

}  // namespace camphorstack
