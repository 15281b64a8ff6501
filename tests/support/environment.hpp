#pragma once

#include <cstdlib>
#include <string>

namespace camphorstack::tests {

/// Returns the value of an environment variable, or `fallback` if it is not set.
inline std::string environment_variable(const char* name, const std::string& fallback) {
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

}  // namespace camphorstack::tests
