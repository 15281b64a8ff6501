#include "camphorstack/cli/load_checker.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Time for which acknowledged sums are kept; the age bounds of a load are far below this.
constexpr millis history_duration{60000};

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

std::int64_t lowest_valid(const counter_history& counter) {
    return std::max(counter.acknowledged, counter.highest_read);
}

}  // namespace

void record_add(counter_history& counter, std::int64_t amount, request_outcome outcome, instant now) {
    if (outcome == request_outcome::unknown) {
        counter.unconfirmed += amount;
    } else if (outcome == request_outcome::done) {
        counter.acknowledged += amount;
        counter.acknowledged_sums.emplace_back(now, counter.acknowledged);
        while (counter.acknowledged_sums.size() > 1 && now - counter.acknowledged_sums[1].first > history_duration) {
            counter.acknowledged_sums.pop_front();
        }
    }
}

std::optional<std::string> check_read(counter_history& counter, std::int64_t value) {
    auto violation = check_bounds(lowest_valid(counter), value, counter.acknowledged + counter.unconfirmed);
    counter.highest_read = std::max(counter.highest_read, value);
    return violation;
}

std::optional<std::string> check_aged_read(const counter_history& counter, std::int64_t value, instant sent_at, millis max_age) {
    std::int64_t lowest = 0;
    for (const auto& [reached, sum] : counter.acknowledged_sums) {
        if (reached < sent_at - max_age) {
            lowest = sum;
        }
    }
    return check_bounds(lowest, value, counter.acknowledged + counter.unconfirmed);
}

std::optional<std::string> check_add(const counter_history& counter, std::int64_t amount, std::int64_t value) {
    return check_bounds(lowest_valid(counter) + amount, value, counter.acknowledged + counter.unconfirmed + amount);
}

}  // namespace camphorstack
