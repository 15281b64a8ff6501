#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "camphorstack/contracts/token_request.hpp"

namespace camphorstack {

/// A request to a holder that has not been answered.
struct pending_token_request {
    host_id holder;
    instant sent;
    std::int64_t operations = 0;

    friend bool operator==(const pending_token_request&, const pending_token_request&) = default;
};

/// What the asking host remembers of a holder that had no token.
struct holder_backoff {
    instant until;          ///< It is not asked again earlier.
    int empty_answers = 0;  ///< Without a token, in a row.

    friend bool operator==(const holder_backoff&, const holder_backoff&) = default;
};

/// Operations that a holder has spent tokens for and that have not begun.
struct granted_operations {
    std::int64_t count = 0;
    instant until;  ///< They may not begin later.

    friend bool operator==(const granted_operations&, const granted_operations&) = default;
};

/// What a host knows of the tokens of one workspace that other hosts hold.
struct remote_tokens {
    std::vector<granted_operations> granted;  ///< Those that end first come first.
    std::vector<host_id> holders;             ///< Other hosts, in the order in which this one asks them.
    std::map<host_id, holder_backoff> backoffs;
    std::map<std::uint64_t, pending_token_request> pending;  ///< By sequence number.
};

/// Uses one granted operation. False if there is none.
bool use_granted_operation(remote_tokens& tokens, instant now);

/// Earliest moment at which another holder may grant a token; nothing if there is no other holder.
[[nodiscard]] std::optional<instant> next_remote_token_at(const remote_tokens& tokens, instant now);

}  // namespace camphorstack
