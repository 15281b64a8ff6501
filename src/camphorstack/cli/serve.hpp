#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// Runs `camphorstack serve`: runs one host until SIGTERM or SIGINT, then stops it gracefully. The flag --settings names the YAML
/// settings file; there are no other arguments. Returns the exit code.
int run_serve(const std::vector<std::string>& arguments);

[[nodiscard]] command serve_command();

}  // namespace camphorstack
