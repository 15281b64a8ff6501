#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Changes one section of the document at the platform, or shows it.
int run_apply(const std::vector<std::string>& arguments);

[[nodiscard]] command apply_command();

}  // namespace camphorstack
