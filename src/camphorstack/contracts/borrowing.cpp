#include <algorithm>
#include <utility>

#include "camphorstack/contracts/shares.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// A request without a grant for this long counts as lost; a round trip between regions takes 16 ms.
constexpr millis grant_wait{30};
/// First and longest pause before a lender that gave nothing is asked again. The pause doubles, so that a workspace far over its
/// rate does not keep all hosts asking each other.
constexpr millis first_pause{10};
constexpr millis longest_pause{160};
/// A shortage this recent has requests waiting.
constexpr millis shortage_memory{30};
/// Tokens for less demand than this are low; more than a round trip between regions.
constexpr millis low_mark{40};
/// Tokens for this much demand are asked for.
constexpr millis wanted_demand{100};
/// Requests that wait raise the estimated demand by this many per second each.
constexpr std::int64_t waiting_weight = 10;
/// Lenders asked at a time in a fleet where not all hosts are holders.
constexpr std::size_t lenders_at_a_time = 3;

millitokens tokens_for(millitokens demand_per_s, millis time) {
    return demand_per_s * time.count / milliseconds_per_second;
}

struct wants {
    millitokens tokens = 0;
    millitokens rate_per_s = 0;
};

bool has_shortage(const rate_limit_share& share, instant now) {
    return share.waiting > 0 && now - share.last_shortage <= shortage_memory;
}

/// Tokens asked for whose grants may still be on the way.
millitokens expected_tokens(const rate_limit_share& share, instant now) {
    millitokens sum = 0;
    for (const auto& [sequence, opened] : share.pending_loan_requests) {
        sum += now - opened.sent < grant_wait ? opened.tokens : 0;
    }
    return sum;
}

/// What to borrow. Little more than is needed: tokens that are not spent when a loan ends are lost to the fleet.
wants wanted(const rate_limit_share& share, instant now) {
    const auto demand = expected_demand(share, now);
    const bool active = share.demand_per_s > 0 && now - share.last_attempt <= millis{milliseconds_per_second};
    const bool shortage = has_shortage(share, now);
    const auto low = std::max(tokens_for(demand, low_mark), request_cost);
    if (!shortage && (!active || share.tokens >= low)) {
        return {};
    }
    const auto waiting = shortage ? share.waiting * request_cost : 0;
    const auto tokens = waiting + tokens_for(demand, wanted_demand) - share.tokens - expected_tokens(share, now);
    const auto needed = demand + demand / 4 + waiting * waiting_weight - share.accrual_rate;
    if (tokens <= 0 || (!shortage && needed <= 0)) {
        return {};
    }
    return {std::min(tokens, share.burst), std::clamp<millitokens>(needed, 0, share.rate_per_s)};
}

/// Lenders that may be asked now: those that gave most last come first.
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
        candidates.resize(std::min(candidates.size(), lenders_at_a_time));
    }
    return candidates;
}

void forget_unanswered(rate_limit_share& share, instant now) {
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
        forget_unanswered(share, now);
        const auto wish = wanted(share, now);
        if (wish.tokens == 0 && wish.rate_per_s == 0) {
            continue;
        }
        auto lenders = choose_lenders(state, share, now, random);
        // Not all have something to spare, so twice the need is asked for, in whole requests' worth.
        const auto whole = 2 * (wish.tokens + request_cost - 1) / request_cost;
        lenders.resize(std::min(lenders.size(), static_cast<std::size_t>(whole) + 1));
        for (const auto& lender : lenders) {
            const auto count = static_cast<millitokens>(lenders.size());
            const bool gave = share.lenders[lender].last_grant > 0;
            const auto tokens = std::min(share.burst, (gave ? whole : (whole + count - 1) / count) * request_cost);
            const auto rate = gave ? wish.rate_per_s : 2 * wish.rate_per_s / count;
            const auto sequence = state.next_sequence++;
            const auto duration = state.settings.loan_duration;
            share.pending_loan_requests.emplace(sequence, pending_loan_request{lender, now, duration, tokens});
            share.lenders[lender].not_before = now + grant_wait;
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
    const auto opened = share.pending_loan_requests.find(grant.sequence);
    if (opened == share.pending_loan_requests.end() || opened->second.lender != lender) {
        return;
    }
    const auto asked = opened->second;
    share.pending_loan_requests.erase(opened);
    accrue(share, now);
    auto& memory = share.lenders[lender];
    memory.last_grant = grant.tokens;
    const bool empty = grant.tokens <= 0 && grant.rate_per_s <= 0;
    memory.consecutive_empty_grants = empty ? memory.consecutive_empty_grants + 1 : 0;
    const auto doublings = std::min(memory.consecutive_empty_grants - 1, 4);
    memory.not_before = empty ? now + std::min(first_pause * (std::int64_t{1} << doublings), longest_pause) : now;
    const auto until = asked.sent + std::min(grant.duration, asked.duration);
    if (empty || grant.epoch != state.members.epoch || until <= now) {
        return;
    }
    share.borrowed.push_back({grant.sequence, grant.tokens, grant.rate_per_s, until, lender, false});
    update_bounds(share);
    share.tokens = std::min(share.tokens + grant.tokens, share.capacity);
}

}  // namespace camphorstack
