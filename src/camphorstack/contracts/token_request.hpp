#pragma once

#include <cstdint>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Sent to a holder of a share of a workspace's rate limit, to spend tokens for operations that wait at the requesting host.
struct token_request {
    std::uint64_t sequence = 0;  ///< Numbers the requesting host's requests; echoed in the grant.
    workspace_id workspace;
    std::int64_t operations = 0;  ///< Number of operations, each of which costs `request_cost`.

    friend bool operator==(const token_request&, const token_request&) = default;
};

/// Answer to a `token_request`. The holder spends the tokens before it sends the grant; the tokens of a lost grant are lost to
/// the fleet.
struct token_grant {
    std::uint64_t sequence = 0;
    workspace_id workspace;
    std::int64_t operations = 0;  ///< Number of operations that may proceed.
    millis next_token;            ///< Expected time until the holder can grant another token; 0 if it has one now.

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

}  // namespace camphorstack
