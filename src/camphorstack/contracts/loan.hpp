#pragma once

#include <cstdint>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Thousandths of the tokens of one request. The resolution keeps small shares of a rate from rounding to zero.
using millitokens = std::int64_t;

/// Sent by a holder of a share of a workspace's rate limit to another holder, to borrow tokens and rate.
struct loan_request {
    std::uint64_t sequence = 0;  ///< Numbers the borrower's requests; echoed in the grant.
    workspace_id workspace;
    std::uint64_t epoch = 0;     ///< Epoch of the member list that the borrower's share is based on.
    millitokens tokens = 0;      ///< Tokens requested for immediate use.
    millitokens rate_per_s = 0;  ///< Rate requested for `duration`.
    millis duration;

    friend bool operator==(const loan_request&, const loan_request&) = default;
};

/// Answer to a `loan_request`. The lender debits both amounts before it sends the grant; if the grant is lost, the fleet lacks
/// them until the loan ends.
struct loan_grant {
    std::uint64_t sequence = 0;
    workspace_id workspace;
    std::uint64_t epoch = 0;
    millitokens tokens = 0;
    millitokens rate_per_s = 0;  ///< The borrower may use it until `duration` after it sent the request.
    millis duration;

    friend bool operator==(const loan_grant&, const loan_grant&) = default;
};

}  // namespace camphorstack
