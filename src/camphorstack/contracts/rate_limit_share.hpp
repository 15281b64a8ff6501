#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "camphorstack/contracts/loan.hpp"
#include "camphorstack/contracts/remote_tokens.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Tokens of one admitted request.
constexpr millitokens request_cost = 1000;

/// Borrowed burst room and rate. Ends on this host's clock, counted from when it sent the request.
struct borrowed_part {
    std::uint64_t sequence = 0;  ///< Of the request.
    millitokens burst = 0;
    millitokens rate_per_s = 0;
    instant until;
    host_id lender;
    bool unspent_returned = false;  ///< Unspent tokens went back; that happens once.

    friend bool operator==(const borrowed_part&, const borrowed_part&) = default;
};

/// Burst room and rate that this host does not use until the borrower's loan has certainly ended.
struct lent_part {
    std::uint64_t source_sequence = 0;  ///< Sequence of the borrowed part that was lent on, or 0 for the own share.
    millitokens burst = 0;
    millitokens rate_per_s = 0;
    instant until;
    host_id borrower;
    std::uint64_t sequence = 0;  ///< Of the borrower's request; 0 once unspent tokens came back.

    friend bool operator==(const lent_part&, const lent_part&) = default;
};

/// A share that counts as an upper bound until the end of its changeover.
struct former_share {
    std::size_t divisor = 0;  ///< The share was one part in this many; 0 if the host held nothing.
    instant until;

    friend bool operator==(const former_share&, const former_share&) = default;
};

/// A loan request whose grant may still be credited.
struct pending_loan_request {
    host_id lender;
    instant sent;
    millis duration;
    millitokens tokens = 0;  ///< Asked for.

    friend bool operator==(const pending_loan_request&, const pending_loan_request&) = default;
};

/// What the borrower remembers of a lender.
struct lender_state {
    instant not_before;                ///< The lender is not asked again earlier than this.
    int consecutive_empty_grants = 0;  ///< In a row.
    millitokens last_grant = 0;        ///< Tokens.

    friend bool operator==(const lender_state&, const lender_state&) = default;
};

/// This host's part of one workspace's contract.
///
/// Room for tokens moves with the tokens: a lender's bucket shrinks by what it lent until the loan ends. Otherwise it would
/// refill while the borrower still holds the tokens, and the fleet would hold more than the contract's burst.
struct rate_limit_share {
    millitokens rate_per_s = 0;               ///< Of the whole contract.
    millitokens burst = 0;                    ///< Of the whole contract.
    std::vector<host_id> holders;             ///< Of the current member list.
    std::size_t divisor = 0;                  ///< The own share is one part in this many; 0 if this host is no holder.
    std::vector<former_share> former_shares;  ///< Shares of earlier lists that still bound the current one.

    millitokens tokens = 0;
    std::int64_t remainder = 0;  ///< Accrued thousandths of a millitoken.
    instant updated;             ///< Tokens are accrued up to here.
    std::vector<borrowed_part> borrowed;
    std::vector<lent_part> lent;
    millitokens capacity = 0;      ///< Upper bound of `tokens`; set by `update_bounds`.
    millitokens accrual_rate = 0;  ///< Rate at which tokens accrue, per second; set by `update_bounds`.
    instant bounds_valid_until;    ///< The next loan or changeover ends here and changes both.

    double demand_per_s = 0;  ///< Estimated spending in millitokens per second, at `last_attempt`.
    instant last_attempt;
    instant last_shortage;     ///< When a request last found too few tokens.
    instant last_refusal;      ///< When a request was last refused for want of tokens.
    std::int64_t waiting = 0;  ///< Requests that wait for tokens.
    std::map<host_id, lender_state> lenders;
    std::map<std::uint64_t, pending_loan_request> pending_loan_requests;  ///< By sequence number.
    remote_tokens remote;                                                 ///< Used if holders are asked for single tokens.
};

/// Own burst room at `at`, without what is lent: the smallest of the current and the former shares that still count.
[[nodiscard]] millitokens own_burst(const rate_limit_share& share, instant at);

/// Own rate at `at`, without what is lent.
[[nodiscard]] millitokens own_rate(const rate_limit_share& share, instant at);

/// Ends what has ended at `updated` and sets the bounds. To be called after each change of the parts.
void update_bounds(rate_limit_share& share);

/// Accrues tokens up to `now`, ending loans and changeovers at their own instants on the way.
void accrue(rate_limit_share& share, instant now);

/// Takes back what a borrower returned of its loan. False if the grant is no return.
bool credit_return(rate_limit_share& share, const host_id& borrower, const loan_grant& grant, instant now);

/// Adds a request to the demand estimate.
void record_demand(rate_limit_share& share, instant now);

/// Spending to be expected, in millitokens per second. Falls quickly once requests stop coming.
[[nodiscard]] millitokens expected_demand(const rate_limit_share& share, instant now);

}  // namespace camphorstack
