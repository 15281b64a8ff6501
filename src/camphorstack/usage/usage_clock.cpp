#include "camphorstack/usage/usage_clock.hpp"

#include <algorithm>
#include <vector>

namespace camphorstack {

namespace {

/// Time for which a coordinator without the fleet's time hears wall clocks before it sets one.
constexpr millis settling_time{4000};
/// A wall clock that was heard longer ago does not count.
constexpr millis heard_lifetime{6000};
/// The fleet's time is corrected if the median differs by more; hosts' clocks differ by less when they are synchronized.
constexpr std::int64_t tolerance_ms = 100;
/// A difference must last this long, so that steps that end soon have no effect.
constexpr millis correction_wait{30000};

std::int64_t median_offset(const usage_clock& clock, instant now) {
    std::vector<std::int64_t> offsets{*clock.own_offset};
    for (const auto& [host, heard] : clock.others) {
        if (now - heard.second < heard_lifetime) {
            offsets.push_back(heard.first);
        }
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle;
}

}  // namespace

void read_wall_clock(usage_clock& clock, std::int64_t unix_ms, instant now) {
    clock.own_offset = unix_ms - now.since_start;
    if (!clock.offset) {
        clock.offset = clock.own_offset;
        clock.first_read = now;
    }
}

void adopt_time(usage_clock& clock, std::int64_t unix_ms, instant at) {
    clock.offset = unix_ms - at.since_start;
    clock.agreed = true;
    clock.deviates_since.reset();
}

void hear_clock(usage_clock& clock, const host_id& from, std::int64_t unix_ms, std::int64_t agreed_ms, instant now) {
    clock.others[from] = {unix_ms - now.since_start, now};
    if (!clock.agreed && agreed_ms != 0) {
        adopt_time(clock, agreed_ms, now);
    }
}

void settle_clock(usage_clock& clock, instant now) {
    if (!clock.own_offset) {
        return;
    }
    std::erase_if(clock.others, [&](const auto& item) { return now - item.second.second >= heard_lifetime; });
    const auto median = median_offset(clock, now);
    if (!clock.agreed) {
        clock.offset = median;
        clock.agreed = now - clock.first_read >= settling_time;
        return;
    }
    if (std::abs(median - *clock.offset) <= tolerance_ms) {
        clock.deviates_since.reset();
    } else if (!clock.deviates_since) {
        clock.deviates_since = now;
    } else if (now - *clock.deviates_since >= correction_wait) {
        clock.offset = median;
        clock.deviates_since.reset();
    }
}

std::optional<std::int64_t> fleet_time(const usage_clock& clock, instant now) {
    return clock.agreed ? std::optional(now.since_start + *clock.offset) : std::nullopt;
}

}  // namespace camphorstack
