#pragma once

#include <cstdint>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// A host asks a holder of a workspace's contract to spend tokens for operations that wait at the asking host.
struct token_request {
    std::uint64_t sequence = 0;  ///< Numbers the asking host's requests; echoed in the grant.
    workspace_id workspace;
    std::int64_t operations = 0;  ///< Each needs one request's tokens.

    friend bool operator==(const token_request&, const token_request&) = default;
};

/// The holder has spent the tokens before it sends this. A lost grant is lost to the fleet.
struct token_grant {
    std::uint64_t sequence = 0;
    workspace_id workspace;
    std::int64_t operations = 0;  ///< May go on.
    millis next_token;            ///< Expected until the holder can grant more; 0 if it can now.

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

}  // namespace camphorstack
