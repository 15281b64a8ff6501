#pragma once

#include <absl/flags/declare.h>

#include <string>

ABSL_DECLARE_FLAG(std::string, host);
ABSL_DECLARE_FLAG(bool, json);

namespace camphorstack {

/// Returns the value of --host. Throws error if the value is not "ip:port".
[[nodiscard]] std::string host_from_flag();

}  // namespace camphorstack
