#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/hosts/member.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Operations of the platform's service. Each one, also a watch while it waits, counts as one call against the service's rate
/// limits.
enum class platform_operation : std::uint8_t {
    read,   ///< Returns the object's newest version and value.
    write,  ///< Takes effect only if the object's version is `expected_version` (0: the object does not exist).
    watch,  ///< Answers when the version is above `expected_version`, or after some seconds with the current one.
    hosts,  ///< Returns the platform's list of live and leaving hosts, which may be out of date.
};

/// A call to the platform's service.
struct platform_call {
    call_id id = 0;
    platform_operation operation = platform_operation::read;
    std::string object;  ///< "document", "members" or "terms/DATABASE".
    std::uint64_t expected_version = 0;
    std::string value;  ///< JSON, at most 1 MB.

    friend bool operator==(const platform_call&, const platform_call&) = default;
};

/// Result of a platform call.
enum class platform_status : std::uint8_t {
    ok,
    conflict,     ///< The object's version is not the expected one; `version` and `value` are the current ones.
    not_found,    ///< The object does not exist; its version is 0.
    unavailable,  ///< No answer. A write may or may not have taken effect.
};

/// Answer to the `platform_call` with the same id.
struct platform_answer {
    call_id id = 0;
    platform_status status = platform_status::unavailable;
    std::uint64_t version = 0;
    std::string value;          ///< JSON.
    std::vector<member> hosts;  ///< Answer to `hosts`: the live hosts.

    friend bool operator==(const platform_answer&, const platform_answer&) = default;
};

}  // namespace camphorstack
