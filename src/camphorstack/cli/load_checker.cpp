#include "camphorstack/cli/load_checker.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Older sums are dropped; age bounds of a load are far below this.
constexpr millis kept_time{60000};

std::optional<std::string> check_bounds(std::int64_t lowest, std::int64_t value, std::int64_t highest) {
    const auto text = std::to_string(value) + ", expected " + std::to_string(lowest) + " to " + std::to_string(highest);
    if (value < lowest) {
        return "lost or stale: " + text;
    }
    if (value > highest) {
        return "doubled: " + text;
    }
    return std::nullopt;
}

std::int64_t lowest_now(const counter_history& counter) {
    return std::max(counter.acknowledged, counter.seen);
}

}  // namespace

void note_add(counter_history& counter, std::int64_t amount, request_outcome outcome, instant now) {
    if (outcome == request_outcome::unknown) {
        counter.possible += amount;
    } else if (outcome == request_outcome::done) {
        counter.acknowledged += amount;
        counter.acknowledged_at.emplace_back(now, counter.acknowledged);
        while (counter.acknowledged_at.size() > 1 && now - counter.acknowledged_at[1].first > kept_time) {
            counter.acknowledged_at.pop_front();
        }
    }
}

std::optional<std::string> check_read(counter_history& counter, std::int64_t value) {
    auto violation = check_bounds(lowest_now(counter), value, counter.acknowledged + counter.possible);
    counter.seen = std::max(counter.seen, value);
    return violation;
}

std::optional<std::string> check_aged_read(const counter_history& counter, std::int64_t value, instant sent, millis max_age) {
    std::int64_t lowest = 0;
    for (const auto& [reached, sum] : counter.acknowledged_at) {
        if (reached < sent - max_age) {
            lowest = sum;
        }
    }
    return check_bounds(lowest, value, counter.acknowledged + counter.possible);
}

std::optional<std::string> check_add(const counter_history& counter, std::int64_t amount, std::int64_t value) {
    return check_bounds(lowest_now(counter) + amount, value, counter.acknowledged + counter.possible + amount);
}

}  // namespace camphorstack
