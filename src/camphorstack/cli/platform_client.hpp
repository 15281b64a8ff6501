#pragma once

#include <string>

#include "camphorstack/hosts/platform_call.hpp"

namespace camphorstack {

/// Makes one read or write call to the platform's API and waits for the answer; see links/platform_link.hpp for the API.
[[nodiscard]] platform_answer call_platform(const std::string& address, const platform_call& call);

}  // namespace camphorstack
