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
/// Lenders asked at a time in a fleet where not all hosts are holders.
constexpr std::size_t lenders_at_a_time = 3;

millitokens tokens_for(millitokens demand_per_s, millis time) {
    return demand_per_s * time.count / milliseconds_per_second;
}

struct wants {
    millitokens tokens = 0;
    millitokens rate_per_s = 0;
};

bool has_shortage(const contract_share& share, instant now) {
    return share.unserved > 0 && now - share.last_shortage <= shortage_memory;
}

wants wanted(const contract_share& share, instant now) {
    const auto demand = expected_demand(share, now);
    const auto rate = accrual_rate(share, now);
    const auto needed_rate = std::max<millitokens>(0, demand + demand / 4 - rate);
    if (has_shortage(share, now)) {
        // Without tokens the demand estimate is too low, so a part of the contract is the least to ask for.
        const auto least = share.parts == 0 ? 0 : share.burst / static_cast<millitokens>(share.parts);
        const auto tokens = std::max(2 * share.unserved * request_cost + tokens_for(demand, wanted_demand), least);
        return {std::min(tokens, share.burst), std::max(needed_rate, share.parts == 0 ? 0 : share.rate_per_s / 4)};
    }
    const auto low = std::max(tokens_for(demand, low_mark), request_cost);
    const bool active = share.demand_per_s > 0 && now - share.last_attempt <= millis{milliseconds_per_second};
    if (!active || share.tokens >= low || needed_rate == 0) {
        return {};
    }
    return {std::min(std::max(tokens_for(demand, wanted_demand), 2 * request_cost), share.burst), needed_rate};
}

/// Lenders that may be asked now: those that gave most last come first.
std::vector<host_id> choose_lenders(const share_state& state, contract_share& share, instant now, random_source& random) {
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

void forget_unanswered(contract_share& share, instant now) {
    std::erase_if(share.open_loans, [now](const auto& entry) { return entry.second.sent + entry.second.duration <= now; });
}

}  // namespace

std::vector<addressed_loan_request> due_loan_requests(share_state& state, instant now, random_source& random) {
    std::vector<addressed_loan_request> requests;
    if (state.next_sequence == 0) {
        state.next_sequence = random() / 2 + 1;
    }
    for (auto& [id, share] : state.contracts) {
        accrue(share, now);
        forget_unanswered(share, now);
        const auto wish = wanted(share, now);
        if (wish.tokens == 0 && wish.rate_per_s == 0) {
            continue;
        }
        for (const auto& lender : choose_lenders(state, share, now, random)) {
            const auto sequence = state.next_sequence++;
            const auto duration = state.settings.loan_duration;
            share.open_loans.emplace(sequence, open_loan{lender, now, duration});
            share.lenders[lender].not_before = now + grant_wait;
            requests.push_back({lender, {sequence, id, state.members.epoch, wish.tokens, wish.rate_per_s, duration}});
        }
    }
    return requests;
}

void receive_loan(share_state& state, const host_id& lender, const loan_grant& grant, instant now) {
    const auto found = state.contracts.find(grant.workspace);
    if (found == state.contracts.end()) {
        return;
    }
    auto& share = found->second;
    const auto opened = share.open_loans.find(grant.sequence);
    if (opened == share.open_loans.end() || opened->second.lender != lender) {
        return;
    }
    const auto asked = opened->second;
    share.open_loans.erase(opened);
    accrue(share, now);
    auto& memory = share.lenders[lender];
    memory.last_grant = grant.tokens;
    const bool empty = grant.tokens <= 0 && grant.rate_per_s <= 0;
    memory.empty_grants = empty ? memory.empty_grants + 1 : 0;
    const auto doublings = std::min(memory.empty_grants - 1, 4);
    memory.not_before = empty ? now + std::min(first_pause * (std::int64_t{1} << doublings), longest_pause) : now;
    const auto until = asked.sent + std::min(grant.duration, asked.duration);
    if (empty || grant.epoch != state.members.epoch || until <= now) {
        return;
    }
    share.borrowed.push_back({grant.sequence, grant.tokens, grant.rate_per_s, until});
    share.tokens += grant.tokens;
    share.unserved = share.tokens >= request_cost ? 0 : share.unserved;
}

}  // namespace camphorstack
