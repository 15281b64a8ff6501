#include <algorithm>

#include "camphorstack/contracts/shares.hpp"

namespace camphorstack {

namespace {

/// Unspent tokens are returned this long before the end of their loan, so that the message arrives before the end.
constexpr millis return_before_end{30};

/// Burst lent on from the borrowed part `sequence`. Tokens lent on come back to the part no later than its end.
millitokens lent_from(const rate_limit_share& share, std::uint64_t sequence) {
    millitokens sum = 0;
    for (const auto& part : share.lent) {
        sum += part.source_sequence == sequence ? part.burst : 0;
    }
    return sum;
}

}  // namespace

std::vector<addressed_loan_grant> due_loan_returns(share_state& state, instant now) {
    std::vector<addressed_loan_grant> returns;
    for (auto& [id, share] : state.rate_limits) {
        accrue(share, now);
        bool changed = false;
        for (auto& part : share.borrowed) {
            if (part.unspent_returned || part.until - now > return_before_end) {
                continue;
            }
            part.unspent_returned = true;
            // Tokens that fit into the remaining capacity are kept.
            const auto free = std::max<millitokens>(0, part.burst - lent_from(share, part.sequence));
            const auto unspent = std::clamp<millitokens>(share.tokens - (share.capacity - free), 0, free);
            if (unspent > 0) {
                part.burst -= unspent;
                share.tokens -= unspent;
                share.capacity -= unspent;
                changed = true;
                returns.push_back({part.lender, {part.sequence, id, state.members.epoch, unspent, 0, millis{0}}});
            }
        }
        if (changed) {
            update_bounds(share);
        }
    }
    return returns;
}

bool credit_return(rate_limit_share& share, const host_id& borrower, const loan_grant& grant, instant now) {
    if (grant.duration > millis{0} || grant.tokens <= 0) {
        return false;
    }
    accrue(share, now);
    auto left = grant.tokens;
    for (auto& part : share.lent) {
        if (part.sequence == grant.sequence && part.borrower == borrower) {
            const auto taken = std::min(left, part.burst);
            part.sequence = 0;  // A duplicate of this return finds no part to credit.
            part.burst -= taken;
            left -= taken;
        }
    }
    update_bounds(share);
    share.tokens = std::min(share.tokens + grant.tokens - left, share.capacity);
    return true;
}

}  // namespace camphorstack
