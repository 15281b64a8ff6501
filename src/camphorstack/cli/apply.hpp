#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Runs `camphorstack apply`: changes one section of the document at the platform or, with --show, prints the section. Returns
/// the exit code.
int run_apply(const std::vector<std::string>& arguments);

[[nodiscard]] command apply_command();

}  // namespace camphorstack
