#include <algorithm>
#include <vector>

#include "camphorstack/contracts/shares.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// A lender keeps the tokens that it expects to spend in this time, because a loan to the lender itself takes that long to
/// arrive.
constexpr millis reserve_horizon{25};
/// A lender with waiting requests lends nothing for this long after a shortage.
constexpr millis shortage_window{25};
/// A lender with a request in this time is active and keeps the tokens of at least one request.
constexpr millis activity_window{1000};
/// Longest loan that ends within `changeover`.
constexpr millis max_loan_duration{1000};
/// Shortest loan from a borrowed part; a shorter loan would end before the borrower can use it.
constexpr millis min_loan_duration{30};

/// Allowance for the rounding of both clocks to milliseconds and for a difference of 0.4% in their speed.
millis clock_margin(millis duration) {
    return millis{2} + duration / 250;
}

struct offer {
    millis duration;
    millitokens tokens = 0;
    millitokens rate_per_s = 0;
};

/// Burst and rate that can still be lent from the own share or from one borrowed part.
struct lendable_part {
    std::uint64_t source_sequence = 0;
    millitokens burst = 0;
    millitokens rate_per_s = 0;
    millis longest;  ///< Longest duration of a loan from this part.
};

std::vector<lendable_part> lendable_parts(const rate_limit_share& share, instant now, millis longest) {
    std::vector<lendable_part> parts;
    for (const auto& part : share.borrowed) {
        // A borrowed part is lent on only if the new loan ends before the borrowed part does.
        const auto left = part.until - now;
        const auto usable = left - clock_margin(left);
        if (usable >= min_loan_duration) {
            parts.push_back({part.sequence, part.burst, part.rate_per_s, std::min(usable, longest)});
        }
    }
    parts.push_back({0, own_burst(share, now), own_rate(share, now), longest});
    for (const auto& lent : share.lent) {
        const auto found = std::ranges::find(parts, lent.source_sequence, &lendable_part::source_sequence);
        if (found != parts.end()) {
            found->burst = std::max<millitokens>(0, found->burst - lent.burst);
            found->rate_per_s = std::max<millitokens>(0, found->rate_per_s - lent.rate_per_s);
        }
    }
    return parts;
}

bool is_active(const rate_limit_share& share, instant now) {
    return share.demand_per_s > 0 && now - share.last_attempt <= activity_window;
}

/// Tokens and rate that exceed the lender's own expected need.
offer lendable_amount(const rate_limit_share& share, instant now) {
    if (share.waiting > 0 && now - share.last_shortage <= shortage_window) {
        return {};
    }
    const auto demand = expected_demand(share, now);
    const auto kept =
        std::max<millitokens>(demand * reserve_horizon.count / milliseconds_per_second, is_active(share, now) ? request_cost : 0);
    const auto kept_rate = demand + demand / 4;
    return {{}, std::max<millitokens>(0, share.tokens - kept), std::max<millitokens>(0, share.accrual_rate - kept_rate)};
}

/// The offer of highest value, where an offer of a given duration combines all parts that last at least that long. Of equal
/// values the longest duration is chosen.
offer best_offer(const std::vector<lendable_part>& parts, const offer& limit) {
    offer best;
    millitokens best_value = 0;
    for (const auto& candidate : parts) {
        millitokens burst = 0;
        millitokens rate = 0;
        for (const auto& part : parts) {
            if (part.longest >= candidate.longest) {
                burst += part.burst;
                rate += part.rate_per_s;
            }
        }
        const offer made{candidate.longest, std::min(burst, limit.tokens), std::min(rate, limit.rate_per_s)};
        const auto value = made.tokens + made.rate_per_s * made.duration.count / milliseconds_per_second;
        if (value > best_value || (value == best_value && made.duration > best.duration)) {
            best = made;
            best_value = value;
        }
    }
    return best;
}

void debit(rate_limit_share& share, const std::vector<lendable_part>& parts, const offer& made, const host_id& borrower,
           std::uint64_t sequence, instant now) {
    share.tokens -= made.tokens;
    auto burst = made.tokens;
    auto rate = made.rate_per_s;
    for (const auto& part : parts) {
        if (part.longest < made.duration) {
            continue;
        }
        const lent_part taken{part.source_sequence,
                              std::min(burst, part.burst),
                              std::min(rate, part.rate_per_s),
                              now + made.duration + clock_margin(made.duration),
                              borrower,
                              sequence};
        burst -= taken.burst;
        rate -= taken.rate_per_s;
        if (taken.burst > 0 || taken.rate_per_s > 0) {
            share.lent.push_back(taken);
        }
    }
    update_bounds(share);
}

}  // namespace

loan_grant grant_loan(share_state& state, const host_id& borrower, const loan_request& request, instant now) {
    loan_grant grant{request.sequence, request.workspace, request.epoch, 0, 0, request.duration};
    const auto found = state.rate_limits.find(request.workspace);
    if (found == state.rate_limits.end() || request.epoch != state.members.epoch || borrower == state.self) {
        return grant;
    }
    auto& share = found->second;
    accrue(share, now);
    const auto longest = std::min({request.duration, state.settings.loan_duration, max_loan_duration});
    auto limit = lendable_amount(share, now);
    limit.tokens = std::clamp<millitokens>(request.tokens, 0, limit.tokens);
    limit.rate_per_s = std::clamp<millitokens>(request.rate_per_s, 0, limit.rate_per_s);
    const auto parts = lendable_parts(share, now, longest);
    auto made = best_offer(parts, limit);
    if (is_active(share, now)) {
        // Only the tokens of whole requests are lent: fractions of a request spread over many active hosts admit no request.
        made.tokens -= made.tokens % request_cost;
    }
    if (made.tokens == 0 && made.rate_per_s == 0) {
        return grant;
    }
    debit(share, parts, made, borrower, request.sequence, now);
    grant.tokens = made.tokens;
    grant.rate_per_s = made.rate_per_s;
    grant.duration = made.duration;
    return grant;
}

}  // namespace camphorstack
