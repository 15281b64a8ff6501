#pragma once

#include <string>

#include "camphorstack/hosts/platform_call.hpp"

namespace camphorstack {

/// Reads an HTTP answer of the platform's object API. Throws format_error if the body does not match the API.
[[nodiscard]] platform_answer read_platform_answer(const platform_call& call, unsigned http_status, const std::string& body);

}  // namespace camphorstack
