#include "camphorstack/contracts/rate_limit_share.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

millitokens own_part(const rate_limit_share& share, millitokens amount, instant at) {
    const auto smaller = [](std::size_t a, std::size_t b) { return a == 0 || b == 0 ? 0 : std::max(a, b); };
    std::optional<std::size_t> retained;
    for (const auto& earlier : share.former_shares) {
        if (at < earlier.retained_until) {
            retained = smaller(retained.value_or(earlier.divisor), earlier.divisor);
        }
    }
    std::size_t divisor = retained.value_or(share.divisor);
    for (const auto& earlier : share.former_shares) {
        if (at < earlier.until) {
            divisor = smaller(divisor, earlier.divisor);
        }
    }
    return divisor == 0 ? 0 : amount / static_cast<millitokens>(divisor);
}

/// Sum of one amount, burst or rate, over the own share and the borrowed parts, each less what was lent from it.
millitokens available_amount(const rate_limit_share& share, millitokens own, millitokens borrowed_part::*borrowed_amount,
                             millitokens lent_part::*lent_amount) {
    const auto lent_from = [&](std::uint64_t source_sequence) {
        millitokens sum = 0;
        for (const auto& part : share.lent) {
            sum += part.source_sequence == source_sequence ? part.*lent_amount : 0;
        }
        return sum;
    };
    millitokens sum = std::max<millitokens>(0, own - lent_from(0));
    for (const auto& part : share.borrowed) {
        sum += std::max<millitokens>(0, part.*borrowed_amount - lent_from(part.sequence));
    }
    return sum;
}

/// The earliest end of a loan or a changeover.
instant next_change(const rate_limit_share& share) {
    instant next{std::numeric_limits<std::int64_t>::max()};
    const auto consider = [&next](const auto& items) {
        for (const auto& item : items) {
            next = std::min(next, item.until);
        }
    };
    consider(share.borrowed);
    consider(share.lent);
    consider(share.former_shares);
    for (const auto& earlier : share.former_shares) {
        next = share.updated < earlier.retained_until ? std::min(next, earlier.retained_until) : next;
    }
    return next;
}

}  // namespace

millitokens own_burst(const rate_limit_share& share, instant at) {
    const auto part = own_part(share, share.burst, at);
    // The clock counts whole milliseconds, so a bucket may accrue up to one millisecond's tokens early. The burst is reduced by
    // that amount, but by at most a tenth, and not below one request: no request would ever be admitted.
    const auto resolution = own_part(share, share.rate_per_s, at) / milliseconds_per_second;
    return std::max(part - std::min(resolution, part / 10), std::min(part, request_cost));
}

millitokens own_rate(const rate_limit_share& share, instant at) {
    return own_part(share, share.rate_per_s, at);
}

void update_bounds(rate_limit_share& share) {
    const auto at = share.updated;
    const auto ended = [at](const auto& item) { return item.until <= at; };
    std::erase_if(share.borrowed, ended);
    std::erase_if(share.lent, ended);
    std::erase_if(share.former_shares, ended);
    share.capacity = available_amount(share, own_burst(share, at), &borrowed_part::burst, &lent_part::burst);
    share.accrual_rate = available_amount(share, own_rate(share, at), &borrowed_part::rate_per_s, &lent_part::rate_per_s);
    share.bounds_valid_until = next_change(share);
    share.tokens = std::min(share.tokens, share.capacity);
}

void accrue(rate_limit_share& share, instant now) {
    while (share.updated < now) {
        const auto next = std::min(now, share.bounds_valid_until);
        const auto gained = share.accrual_rate * (next - share.updated).count + share.remainder;
        share.tokens = std::min(share.tokens + gained / milliseconds_per_second, share.capacity);
        share.remainder = gained % milliseconds_per_second;
        share.updated = next;
        if (next == share.bounds_valid_until) {
            update_bounds(share);
        }
    }
}

void record_demand(rate_limit_share& share, instant now) {
    constexpr double time_constant_ms = 300;
    const auto gap = static_cast<double>((now - share.last_attempt).count);
    const auto one_request = static_cast<double>(request_cost * milliseconds_per_second) / time_constant_ms;
    share.demand_per_s = share.demand_per_s * std::exp(-gap / time_constant_ms) + one_request;
    share.last_attempt = now;
}

millitokens expected_demand(const rate_limit_share& share, instant now) {
    // After a gap without requests, at most two requests per such gap are expected: a host whose load has just moved elsewhere
    // must lend within a few milliseconds, well before the average of its past demand has decayed.
    constexpr std::int64_t requests_per_gap = 2;
    const auto gap = std::max<std::int64_t>(1, (now - share.last_attempt).count);
    const auto ceiling = requests_per_gap * request_cost * milliseconds_per_second / gap;
    return std::min(static_cast<millitokens>(share.demand_per_s), ceiling);
}

}  // namespace camphorstack
