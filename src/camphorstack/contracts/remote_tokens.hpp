#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "camphorstack/contracts/token_request.hpp"

namespace camphorstack {

/// A token request that its holder has not answered.
struct pending_token_request {
    host_id holder;
    instant sent;
    std::int64_t operations = 0;

    friend bool operator==(const pending_token_request&, const pending_token_request&) = default;
};

/// Backoff of the requesting host towards a holder that had no token or did not answer.
struct holder_backoff {
    instant until;             ///< No token request is sent to the holder before this.
    int empty_answers = 0;     ///< Consecutive answers without a token.
    bool unreachable = false;  ///< The last request was not answered.

    friend bool operator==(const holder_backoff&, const holder_backoff&) = default;
};

/// Operations for which a holder has spent tokens and which have not begun.
struct granted_operations {
    std::int64_t count = 0;
    instant until;  ///< The operations must begin before this.

    friend bool operator==(const granted_operations&, const granted_operations&) = default;
};

/// A host's view of one workspace's tokens at other holders.
struct remote_tokens {
    std::vector<granted_operations> granted;  ///< Ordered by `until`, earliest first.
    std::vector<host_id> holders;             ///< Other holders, in the order in which this host asks them.
    std::map<host_id, holder_backoff> backoffs;
    std::map<std::uint64_t, pending_token_request> pending;  ///< By sequence number.
};

/// Consumes one granted operation. False if there is none.
bool use_granted_operation(remote_tokens& tokens, instant now);

/// Earliest time at which another holder may grant a token; empty if there is no other holder.
[[nodiscard]] std::optional<instant> next_remote_token_at(const remote_tokens& tokens, instant now);

}  // namespace camphorstack
