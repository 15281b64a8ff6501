#pragma once

#include <string>

#include "camphorstack/hosts/platform_call.hpp"

namespace camphorstack {

/// Reads an HTTP answer of the platform's object API. Throws format_error if its body does not have the API's form.
[[nodiscard]] platform_answer read_platform_answer(const platform_call& call, unsigned http_status, const std::string& body);

}  // namespace camphorstack
