#pragma once

#include <absl/flags/declare.h>

#include <string>

ABSL_DECLARE_FLAG(std::string, host);
ABSL_DECLARE_FLAG(bool, json);

namespace camphorstack {

/// Value of --host. Throws error if it is not "ip:port".
[[nodiscard]] std::string host_from_flag();

}  // namespace camphorstack
