#pragma once

#include <string>
#include <vector>

#include "camphorstack/cli/command.hpp"

namespace camphorstack {

/// `camphorstack load`: offers a bounded load to daemons, or with --direct to one instance, and prints latencies and the
/// measures of `format_measures`. Returns 0, 1 for wrong usage, or 3 if an acknowledged ADD was lost or doubled or a read was
/// stale.
int run_load(const std::vector<std::string>& arguments);

[[nodiscard]] command load_command();

}  // namespace camphorstack
