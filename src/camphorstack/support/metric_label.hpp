#pragma once

#include <string>

namespace camphorstack {

/// Escapes a label value as the Prometheus text format requires. Bytes that are not UTF-8 text are replaced.
[[nodiscard]] std::string metric_label(const std::string& text);

}  // namespace camphorstack
