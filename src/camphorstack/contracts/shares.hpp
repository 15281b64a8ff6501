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
    millis loan_duration{1000};       ///< Duration of a loan; at most 1000 ms, so that it ends within `changeover`.
    millis changeover{4000};          ///< For this long after a new epoch, the smaller of the old and the new share applies.
    std::size_t max_holders = 8;      ///< Holders of one workspace in a fleet of more than `all_hold_up_to` hosts.
    std::size_t all_hold_up_to = 16;  ///< In a fleet of at most this many hosts, each is a holder of every workspace.
    /// A host that knows no earlier member list, or skipped one, has no share for this long.
    millis share_delay{4000};
    /// Smallest burst of one holder's share, in operations. A workspace with a smaller burst has fewer holders, so that each of
    /// them can save up whole tokens. 0: the burst does not limit the number of holders.
    std::int64_t min_holder_burst = 0;
    /// For this long after a host has learned that it is no longer a holder, it still spends from its former share. Shorter than
    /// `changeover` by at least the time in which all hosts learn of a member list or a rate limit.
    millis retained_share{0};

    friend bool operator==(const share_settings&, const share_settings&) = default;
};

/// A loan request and the holder to which it is sent.
struct addressed_loan_request {
    host_id lender;
    loan_request request;

    friend bool operator==(const addressed_loan_request&, const addressed_loan_request&) = default;
};

/// This host's shares of the rate limits of all workspaces.
struct share_state {
    host_id self;
    share_settings settings;
    document_version version = 0;  ///< Version of the document that the rate limits come from.
    member_list members;           ///< Newest agreed member list known; epoch 0 before the first.
    member_list share_hosts;       ///< Those of `members` that may hold shares; see `choose_share_hosts`.
    std::map<workspace_id, rate_limit_share> rate_limits;
    std::uint64_t next_sequence = 0;  ///< Of loan and token requests. Starts at random, so that a restarted process reuses none.
};

/// Returns the number of hosts that hold a share of a rate limit with this burst, in a fleet of `host_count` hosts.
[[nodiscard]] std::size_t holder_count(const share_settings& settings, millitokens burst, std::size_t host_count);

/// Returns the hosts that may hold shares: all members of a small fleet, else a number that grows much slower than the fleet,
/// from all data centres alike. Each host keeps links to all of them, so that no operation waits for a new link.
[[nodiscard]] member_list choose_share_hosts(const member_list& members);

/// Adopts the rates and bursts of a newer document. A changed rate limit applies at once, and for `changeover` with the smaller
/// share if its number of holders changes. A new one starts without tokens, and without a share for `share_delay`.
void update_rate_limits(share_state& state, const document& content, instant now);

/// Adopts a newer agreed member list; an older epoch is ignored. After the first list, and when epochs were skipped, this host
/// has no share for `share_delay` and depends on loans or token requests: a skipped list may have given it a smaller share than
/// both lists that it knows, and other hosts may still use that list. A host whose evidence is recent enough to serve skips no
/// epoch if lists are written at least 3 s apart.
void update_share_holders(share_state& state, const member_list& members, instant now);

/// Spends the tokens of one request. False if this host has too few; the caller may wait for a loan or a token grant.
bool try_spend(share_state& state, const workspace_id& id, instant now);

/// A token request and the holder to which it is sent.
struct addressed_token_request {
    host_id holder;
    token_request request;

    friend bool operator==(const addressed_token_request&, const addressed_token_request&) = default;
};

/// Token requests to send now for waiting operations that lack tokens. A fleet uses either token requests or loans: the lender
/// lacks the lent bucket capacity until the loan ends, which starves workspaces whose operations arrive at many hosts.
std::vector<addressed_token_request> due_token_requests(share_state& state, instant now);

/// Spends this host's tokens for operations that wait at another host, and returns the grant, which may be of 0 operations.
token_grant grant_tokens(share_state& state, const token_request& request, instant now);

/// Returns the answer to a token request that spends nothing.
[[nodiscard]] token_grant deny_tokens(const token_request& request);

/// Credits a token grant. A grant that answers no pending request, or that arrives too late, is ignored.
void receive_token_grant(share_state& state, const host_id& holder, const token_grant& grant, instant now);

/// Removes a token request that could not be delivered, and starts the backoff towards its holder.
void fail_token_request(share_state& state, const host_id& holder, const token_request& request, instant now);

/// Records that an operation of the workspace was refused for lack of tokens.
void record_refusal(share_state& state, const workspace_id& id, instant now);

/// True if this host refused an operation of the workspace recently, which means that the workspace is over its rate.
[[nodiscard]] bool was_refused_recently(const share_state& state, const workspace_id& id, instant now);

/// True if this host has no share of the workspace's rate and no holder of one has answered lately.
[[nodiscard]] bool is_cut_off_from_holders(const share_state& state, const workspace_id& id, instant now);

/// Returns the delay after which the caller of a refused operation is to come back, at least `shortest`. Follows from the next
/// token and the operations that wait; callers of one workspace are told times that lie one token apart at this host, so that
/// they do not return together.
[[nodiscard]] millis advise_return(share_state& state, const workspace_id& id, millis shortest, instant now);

/// Estimate of the earliest time at which a waiting operation of the workspace can get a token.
[[nodiscard]] instant next_token_at(const share_state& state, const workspace_id& id, instant now);

/// Sets how many requests of a workspace wait for tokens after `try_spend` failed, so that enough is borrowed for all of them.
/// Without this call one is assumed.
void set_waiting_requests(share_state& state, const workspace_id& id, std::size_t count);

/// Loan requests to send now, for workspaces that are low on tokens.
std::vector<addressed_loan_request> due_loan_requests(share_state& state, instant now, random_source& random);

/// Debits this host's share and returns the grant, which may be of 0 tokens and rate.
loan_grant grant_loan(share_state& state, const host_id& borrower, const loan_request& request, instant now);

/// A loan grant and the host to which it is sent.
struct addressed_loan_grant {
    host_id receiver;
    loan_grant grant;

    friend bool operator==(const addressed_loan_grant&, const addressed_loan_grant&) = default;
};

/// Returns unspent borrowed tokens to their lenders shortly before the loan ends, as grants with duration 0 and the loan's
/// sequence. Otherwise the tokens would be lost to the fleet. They are debited here and credited by `receive_loan` at the lender.
std::vector<addressed_loan_grant> due_loan_returns(share_state& state, instant now);

/// Credits a loan grant or a return. A grant is ignored if it answers no pending request, is of another epoch, or arrives after
/// the loan's end.
void receive_loan(share_state& state, const host_id& lender, const loan_grant& grant, instant now);

}  // namespace camphorstack
