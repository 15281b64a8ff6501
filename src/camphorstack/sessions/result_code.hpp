#pragma once

#include <cstdint>

namespace camphorstack {

/// Why a statement of a session did not succeed.
enum class result_code : std::uint8_t {
    none,
    busy,            ///< Not run: no capacity, over the rate limit, or the host may not serve now.
    lagging,         ///< Not run: the endpoint's log has not reached the requested position.
    read_only,       ///< Not run: the endpoint is not the primary.
    misrouted,       ///< Not run: the address belongs to another endpoint.
    too_many,        ///< Not run: the endpoint accepts no further connection.
    no_statement,    ///< Not run: no prepared statement has this name.
    failed,          ///< Ran and failed.
    timeout,         ///< The statement may have run.
    in_doubt,        ///< A write or a commit that may have taken effect.
    aborted,         ///< The transaction was rolled back.
    not_authorized,  ///< The key is not known or was withdrawn.
    no_database,     ///< No route has this name.
    too_large,       ///< The message is above the limit.
    malformed,       ///< The message is not understood, or not allowed in the session's state.
};

[[nodiscard]] const char* to_string(result_code code);

}  // namespace camphorstack
