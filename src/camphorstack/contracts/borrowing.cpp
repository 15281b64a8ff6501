#include <algorithm>
#include <utility>

#include "camphorstack/contracts/shares.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// A loan request without an answer for this long counts as lost; a round trip between regions takes 16 ms.
constexpr millis grant_timeout{30};
/// Initial and longest backoff towards a lender that granted nothing. The backoff doubles, so that hosts do not keep sending each
/// other requests for a workspace that is far over its rate.
constexpr millis initial_backoff{10};
constexpr millis max_backoff{160};
/// After a shortage, requests count as waiting for this long.
constexpr millis shortage_window{30};
/// A host borrows when its tokens last for less than this at the expected demand; more than a round trip between regions.
constexpr millis low_watermark{40};
/// A host borrows tokens for the expected demand of this time.
constexpr millis borrow_horizon{100};
/// Rate to borrow for each waiting request, in requests per second.
constexpr std::int64_t rate_per_waiting_request = 10;
/// Most lenders asked at a time in a fleet where not all hosts are holders.
constexpr std::size_t max_lenders_asked = 3;

millitokens tokens_for(millitokens demand_per_s, millis time) {
    return demand_per_s * time.count / milliseconds_per_second;
}

struct loan_need {
    millitokens tokens = 0;
    millitokens rate_per_s = 0;
};

bool has_shortage(const rate_limit_share& share, instant now) {
    return share.waiting > 0 && now - share.last_shortage <= shortage_window;
}

/// Tokens of pending loan requests whose grants may still arrive.
millitokens expected_tokens(const rate_limit_share& share, instant now) {
    millitokens sum = 0;
    for (const auto& [sequence, pending] : share.pending_loan_requests) {
        sum += now - pending.sent < grant_timeout ? pending.tokens : 0;
    }
    return sum;
}

/// Tokens and rate to borrow. The amounts exceed the need only a little, because tokens that are unspent when a loan ends are
/// lost to the fleet.
loan_need needed_loan(const rate_limit_share& share, instant now) {
    const auto demand = expected_demand(share, now);
    const bool active = share.demand_per_s > 0 && now - share.last_attempt <= millis{milliseconds_per_second};
    const bool shortage = has_shortage(share, now);
    const auto low = std::max(tokens_for(demand, low_watermark), request_cost);
    if (!shortage && (!active || share.tokens >= low)) {
        return {};
    }
    const auto waiting = shortage ? share.waiting * request_cost : 0;
    const auto tokens = waiting + tokens_for(demand, borrow_horizon) - share.tokens - expected_tokens(share, now);
    const auto needed_rate = demand + demand / 4 + waiting * rate_per_waiting_request - share.accrual_rate;
    if (tokens <= 0 || (!shortage && needed_rate <= 0)) {
        return {};
    }
    return {std::min(tokens, share.burst), std::clamp<millitokens>(needed_rate, 0, share.rate_per_s)};
}

/// Lenders that may be asked now, in descending order of their last grant.
std::vector<host_id> choose_lenders(const share_state& state, rate_limit_share& share, instant now, random_source& random) {
    std::vector<host_id> candidates;
    for (const auto& id : share.holders) {
        if (id != state.self && share.lenders[id].not_before <= now) {
            candidates.push_back(id);
        }
    }
    std::ranges::shuffle(candidates, random);
    std::ranges::stable_sort(candidates, [&share](const host_id& a, const host_id& b) {
        return share.lenders[a].last_grant > share.lenders[b].last_grant;
    });
    if (state.members.hosts.size() > state.settings.all_hold_up_to) {
        candidates.resize(std::min(candidates.size(), max_lenders_asked));
    }
    return candidates;
}

void remove_expired_requests(rate_limit_share& share, instant now) {
    std::erase_if(share.pending_loan_requests,
                  [now](const auto& entry) { return entry.second.sent + entry.second.duration <= now; });
}

}  // namespace

std::vector<addressed_loan_request> due_loan_requests(share_state& state, instant now, random_source& random) {
    std::vector<addressed_loan_request> requests;
    if (state.next_sequence == 0) {
        state.next_sequence = random() / 2 + 1;
    }
    for (auto& [id, share] : state.rate_limits) {
        accrue(share, now);
        remove_expired_requests(share, now);
        const auto need = needed_loan(share, now);
        if (need.tokens == 0 && need.rate_per_s == 0) {
            continue;
        }
        auto lenders = choose_lenders(state, share, now, random);
        // Twice the needed tokens are requested, in whole requests, because not every lender has tokens to spare.
        const auto whole = 2 * (need.tokens + request_cost - 1) / request_cost;
        lenders.resize(std::min(lenders.size(), static_cast<std::size_t>(whole) + 1));
        for (const auto& lender : lenders) {
            const auto count = static_cast<millitokens>(lenders.size());
            const bool granted_before = share.lenders[lender].last_grant > 0;
            const auto tokens = std::min(share.burst, (granted_before ? whole : (whole + count - 1) / count) * request_cost);
            const auto rate = granted_before ? need.rate_per_s : 2 * need.rate_per_s / count;
            const auto sequence = state.next_sequence++;
            const auto duration = state.settings.loan_duration;
            share.pending_loan_requests.emplace(sequence, pending_loan_request{lender, now, duration, tokens});
            share.lenders[lender].not_before = now + grant_timeout;
            requests.push_back({lender, {sequence, id, state.members.epoch, tokens, rate, duration}});
        }
    }
    return requests;
}

void receive_loan(share_state& state, const host_id& lender, const loan_grant& grant, instant now) {
    const auto found = state.rate_limits.find(grant.workspace);
    if (found == state.rate_limits.end()) {
        return;
    }
    auto& share = found->second;
    if (credit_return(share, lender, grant, now)) {
        return;
    }
    const auto pending = share.pending_loan_requests.find(grant.sequence);
    if (pending == share.pending_loan_requests.end() || pending->second.lender != lender) {
        return;
    }
    const auto asked = pending->second;
    share.pending_loan_requests.erase(pending);
    accrue(share, now);
    auto& lender_entry = share.lenders[lender];
    lender_entry.last_grant = grant.tokens;
    const bool empty = grant.tokens <= 0 && grant.rate_per_s <= 0;
    lender_entry.consecutive_empty_grants = empty ? lender_entry.consecutive_empty_grants + 1 : 0;
    const auto doublings = std::min(lender_entry.consecutive_empty_grants - 1, 4);
    lender_entry.not_before = empty ? now + std::min(initial_backoff * (std::int64_t{1} << doublings), max_backoff) : now;
    const auto until = asked.sent + std::min(grant.duration, asked.duration);
    if (empty || grant.epoch != state.members.epoch || until <= now) {
        return;
    }
    share.borrowed.push_back({grant.sequence, grant.tokens, grant.rate_per_s, until, lender, false});
    update_bounds(share);
    share.tokens = std::min(share.tokens + grant.tokens, share.capacity);
}

}  // namespace camphorstack
