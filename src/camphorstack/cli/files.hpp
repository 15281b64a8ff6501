#pragma once

#include <string>

namespace camphorstack {

/// Content of a file. Throws io_error if it cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

}  // namespace camphorstack
