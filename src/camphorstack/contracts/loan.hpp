#pragma once

#include <cstdint>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Thousandths of one request, so that small shares of a rate do not round to zero.
using millitokens = std::int64_t;

/// A holder of a workspace's contract asks another one for tokens and rate.
struct loan_request {
    std::uint64_t sequence = 0;  ///< Numbers the borrower's requests; echoed in the grant.
    workspace_id workspace;
    std::uint64_t epoch = 0;     ///< Member list on which the borrower's share rests.
    millitokens tokens = 0;      ///< Wanted at once.
    millitokens rate_per_s = 0;  ///< Wanted for `duration`.
    millis duration;

    friend bool operator==(const loan_request&, const loan_request&) = default;
};

/// The lender has debited both amounts before it sends this. A lost grant is lost to the fleet until the loan ends.
struct loan_grant {
    std::uint64_t sequence = 0;
    workspace_id workspace;
    std::uint64_t epoch = 0;
    millitokens tokens = 0;
    millitokens rate_per_s = 0;  ///< The borrower uses it until its request's sending time plus `duration`.
    millis duration;

    friend bool operator==(const loan_grant&, const loan_grant&) = default;
};

}  // namespace camphorstack
