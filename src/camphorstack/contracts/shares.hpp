#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "camphorstack/contracts/loan.hpp"
#include "camphorstack/contracts/rate_limit_share.hpp"
#include "camphorstack/contracts/token_request.hpp"
#include "camphorstack/document/document.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

struct share_settings {
    millis loan_duration{1000};   ///< Of a loan of rate; at most 1000 ms, so that it ends within `changeover`.
    millis changeover{4000};      ///< After a new epoch, the smaller of old and new share counts for this long.
    std::size_t max_holders = 8;  ///< Holders of one workspace in a fleet of more than `all_hold_up_to` hosts.
    std::size_t all_hold_up_to = 16;
    /// A host that knows no earlier list, or skipped one, has no share for this long.
    millis share_delay{4000};

    friend bool operator==(const share_settings&, const share_settings&) = default;
};

/// A loan request and the holder that it goes to.
struct addressed_loan_request {
    host_id lender;
    loan_request request;

    friend bool operator==(const addressed_loan_request&, const addressed_loan_request&) = default;
};

/// All contracts of which this host holds a share.
struct share_state {
    host_id self;
    share_settings settings;
    document_version version = 0;  ///< Of the document that the contracts come from.
    member_list members;           ///< Newest agreed list known; epoch 0 before the first.
    std::map<workspace_id, rate_limit_share> rate_limits;
    std::uint64_t next_sequence = 0;  ///< Of loan requests. Starts at random, so that a restarted process reuses none.
};

/// Takes over the rates and bursts of a newer document. A changed contract counts at once; a new one starts with empty tokens
/// and without a share for `changeover`.
void update_rate_limits(share_state& state, const document& content, instant now);

/// Takes over a newer agreed member list; an older epoch is ignored. On the first list, and when epochs were skipped, this
/// host has no share for `changeover` and lives on loans: a skipped list may have given it less than both lists that it knows,
/// and others may still act on it. A host that stays within the recency bound skips no epoch if the list is written at most
/// every 3 s.
void update_share_holders(share_state& state, const member_list& members, instant now);

/// Spends one request's tokens. False if this host's tokens do not suffice; the caller may wait for a loan.
bool try_spend(share_state& state, const workspace_id& id, instant now);

/// A request for tokens and the holder that it goes to.
struct addressed_token_request {
    host_id holder;
    token_request request;

    friend bool operator==(const addressed_token_request&, const addressed_token_request&) = default;
};

/// Requests for the tokens that waiting operations lack. A fleet uses either these or loans: borrowed room is missing at the
/// lender until the loan ends, which starves workspaces whose operations arrive at many hosts.
std::vector<addressed_token_request> due_token_requests(share_state& state, instant now);

/// Spends this host's tokens for operations that wait at another host.
token_grant grant_tokens(share_state& state, const token_request& request, instant now);

/// Credits a grant. One that answers no open request, or comes too late, is ignored.
void receive_token_grant(share_state& state, const host_id& holder, const token_grant& grant, instant now);

/// The request did not reach its holder, which is then not asked for a while.
void fail_token_request(share_state& state, const host_id& holder, const token_request& request, instant now);

/// An operation of the workspace was refused for want of tokens.
void record_refusal(share_state& state, const workspace_id& id, instant now);

/// True if the workspace is over its rate, by what this host has seen.
[[nodiscard]] bool was_refused_recently(const share_state& state, const workspace_id& id, instant now);

/// Earliest moment at which an operation of the workspace that finds no token may get one, as far as this host knows.
[[nodiscard]] instant next_token_at(const share_state& state, const workspace_id& id, instant now);

/// Tells how many requests of a workspace wait for tokens after `try_spend` failed, so that enough is borrowed for all of them.
/// Without this call one is assumed.
void set_waiting_requests(share_state& state, const workspace_id& id, std::size_t count);

/// Loan requests that are due, for workspaces that run low.
std::vector<addressed_loan_request> due_loan_requests(share_state& state, instant now, random_source& random);

/// Debits this host's share and returns the grant, which may be of zero.
loan_grant grant_loan(share_state& state, const host_id& borrower, const loan_request& request, instant now);

/// A grant and the host that it goes to.
struct addressed_loan_grant {
    host_id receiver;
    loan_grant grant;

    friend bool operator==(const addressed_loan_grant&, const addressed_loan_grant&) = default;
};

/// Unspent borrowed tokens that go back to their lenders shortly before their loan ends, as grants with duration 0 and the
/// loan's sequence. Without them the tokens are lost to the fleet. They are debited here and credited by `receive_loan`.
std::vector<addressed_loan_grant> due_loan_returns(share_state& state, instant now);

/// Credits a grant or a return. A grant that answers no open request, of another epoch or after its end is ignored.
void receive_loan(share_state& state, const host_id& lender, const loan_grant& grant, instant now);

}  // namespace camphorstack
