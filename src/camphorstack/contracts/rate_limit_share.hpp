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

/// Tokens that one admitted request costs.
constexpr millitokens request_cost = 1000;

/// Burst and rate borrowed from another holder. The loan's duration counts on this host's clock from when it sent the request.
struct borrowed_part {
    std::uint64_t sequence = 0;  ///< Sequence number of the loan request.
    millitokens burst = 0;
    millitokens rate_per_s = 0;
    instant until;
    host_id lender;
    bool unspent_returned = false;  ///< The unspent tokens were returned to the lender, which happens once per loan.

    friend bool operator==(const borrowed_part&, const borrowed_part&) = default;
};

/// Burst and rate lent to another holder. This host does not use them until the loan has ended on the borrower's clock too.
struct lent_part {
    std::uint64_t source_sequence = 0;  ///< Sequence of the borrowed part that was lent on; 0 if lent from the own share.
    millitokens burst = 0;
    millitokens rate_per_s = 0;
    instant until;
    host_id borrower;
    std::uint64_t sequence = 0;  ///< Sequence number of the borrower's request; 0 once unspent tokens were returned.

    friend bool operator==(const lent_part&, const lent_part&) = default;
};

/// A share under an earlier member list. It bounds the current share until the end of its changeover.
struct former_share {
    std::size_t divisor = 0;  ///< Number of equal shares of the rate limit; 0 if this host had no share.
    instant until;
    instant retained_until;  ///< Until then the host still uses this share although it is no longer a holder.

    friend bool operator==(const former_share&, const former_share&) = default;
};

/// A loan request whose grant may still be credited.
struct pending_loan_request {
    host_id lender;
    instant sent;
    millis duration;
    millitokens tokens = 0;  ///< Requested amount.

    friend bool operator==(const pending_loan_request&, const pending_loan_request&) = default;
};

/// The borrower's record of a lender.
struct lender_state {
    instant not_before;  ///< No loan request is sent to the lender before this.
    int consecutive_empty_grants = 0;
    millitokens last_grant = 0;  ///< Tokens in the last grant of the lender.

    friend bool operator==(const lender_state&, const lender_state&) = default;
};

/// This host's share of one workspace's rate limit.
///
/// A loan moves bucket capacity together with tokens: the lender's capacity is smaller by the lent burst until the loan ends.
/// Otherwise the lender's bucket would refill while the borrower still holds the tokens, and the fleet would hold more than the
/// burst of the rate limit.
struct rate_limit_share {
    millitokens rate_per_s = 0;               ///< Rate of the whole rate limit.
    millitokens burst = 0;                    ///< Burst of the whole rate limit.
    std::vector<host_id> holders;             ///< Holders under the current member list.
    std::size_t divisor = 0;                  ///< Number of equal shares of the rate limit; 0 if this host has no share.
    std::vector<former_share> former_shares;  ///< Shares under earlier member lists that still bound the current one.

    millitokens tokens = 0;
    std::int64_t remainder = 0;  ///< Accrued fraction of a millitoken, in thousandths.
    instant updated;             ///< Time up to which tokens have accrued.
    std::vector<borrowed_part> borrowed;
    std::vector<lent_part> lent;
    millitokens capacity = 0;      ///< Upper bound of `tokens`; set by `update_bounds`.
    millitokens accrual_rate = 0;  ///< Millitokens that accrue per second; set by `update_bounds`.
    instant bounds_valid_until;    ///< When the next loan or changeover ends, which changes `capacity` and `accrual_rate`.

    double demand_per_s = 0;  ///< Estimated spending in millitokens per second, at `last_attempt`.
    instant last_attempt;
    instant last_shortage;     ///< When a request last found too few tokens here.
    instant last_refusal;      ///< When a request was last refused for lack of tokens.
    instant returns_until;     ///< Latest time at which a refused caller was told to come back.
    std::int64_t waiting = 0;  ///< Requests that wait for tokens.
    std::map<host_id, lender_state> lenders;
    std::map<std::uint64_t, pending_loan_request> pending_loan_requests;  ///< By sequence number.
    remote_tokens remote;                                                 ///< Used if the fleet requests tokens, not loans.
};

/// Burst of the own share at `at`, before loans: the smallest of the current share and the former shares whose changeover has not
/// ended, less the allowance for the clock's resolution.
[[nodiscard]] millitokens own_burst(const rate_limit_share& share, instant at);

/// Rate of the own share at `at`, before loans, in millitokens per second.
[[nodiscard]] millitokens own_rate(const rate_limit_share& share, instant at);

/// Removes loans and former shares that have ended by `updated`, and recalculates `capacity`, `accrual_rate` and
/// `bounds_valid_until`. Must be called after each change of the share, of `borrowed` or of `lent`.
void update_bounds(rate_limit_share& share);

/// Accrues tokens up to `now`, and ends each loan and changeover in between at its own time.
void accrue(rate_limit_share& share, instant now);

/// Credits tokens that a borrower returned. False if the grant is not a return.
bool credit_return(rate_limit_share& share, const host_id& borrower, const loan_grant& grant, instant now);

/// Adds a request to the demand estimate.
void record_demand(rate_limit_share& share, instant now);

/// Expected spending in millitokens per second. Falls quickly once requests stop arriving.
[[nodiscard]] millitokens expected_demand(const rate_limit_share& share, instant now);

}  // namespace camphorstack
