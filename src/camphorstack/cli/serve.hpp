#pragma once

#include <string>
#include <vector>

namespace camphorstack {

/// Runs one host until SIGTERM or SIGINT and its graceful stop. `arguments` are those after the command's name; the flag
/// --settings names the YAML settings file. Returns the exit code: 0 after a graceful stop, 1 after an error, which is logged.
int run_serve(const std::vector<std::string>& arguments);

}  // namespace camphorstack
