#pragma once

#include <compare>
#include <cstdint>

namespace camphorstack {

/// A duration in milliseconds.
struct millis {
    std::int64_t count = 0;

    // clang-tidy 14 reports the 0 in comparisons generated from a defaulted operator<=> as a null pointer.
    friend constexpr auto operator<=>(const millis&, const millis&) = default;  // NOLINT(modernize-use-nullptr)
    friend constexpr millis operator+(millis a, millis b) { return millis{a.count + b.count}; }
    friend constexpr millis operator-(millis a, millis b) { return millis{a.count - b.count}; }
    friend constexpr millis operator*(millis a, std::int64_t factor) { return millis{a.count * factor}; }
    friend constexpr millis operator/(millis a, std::int64_t divisor) { return millis{a.count / divisor}; }
};

/// A point in time on one host's monotonic clock, in milliseconds since an arbitrary start.
/// Instants of different hosts cannot be compared.
struct instant {
    std::int64_t since_start = 0;

    friend constexpr auto operator<=>(const instant&, const instant&) = default;  // NOLINT(modernize-use-nullptr)
    friend constexpr instant operator+(instant t, millis d) { return instant{t.since_start + d.count}; }
    friend constexpr instant operator-(instant t, millis d) { return instant{t.since_start - d.count}; }
    friend constexpr millis operator-(instant a, instant b) { return millis{a.since_start - b.since_start}; }
};

namespace literals {
constexpr millis operator""_ms(unsigned long long count) {
    return millis{static_cast<std::int64_t>(count)};
}
constexpr millis operator""_s(unsigned long long count) {
    return millis{static_cast<std::int64_t>(count) * 1000};
}
}  // namespace literals

/// Source of the current instant. Only tasks use a clock; decision functions take the current instant as a parameter.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    [[nodiscard]] virtual instant now() const = 0;
};

/// Source of the time of day. It may step forward and backward.
class wall_clock {
public:
    wall_clock() = default;
    wall_clock(const wall_clock&) = delete;
    wall_clock& operator=(const wall_clock&) = delete;
    wall_clock(wall_clock&&) = delete;
    wall_clock& operator=(wall_clock&&) = delete;
    virtual ~wall_clock() = default;

    /// Returns the milliseconds since the start of 1970.
    [[nodiscard]] virtual std::int64_t unix_ms() const = 0;
};

/// The machine's wall clock.
class system_wall_clock final : public wall_clock {
public:
    [[nodiscard]] std::int64_t unix_ms() const override;
};

/// The machine's monotonic clock. It does not count the time for which the machine was suspended.
class monotonic_clock final : public clock {
public:
    [[nodiscard]] instant now() const override;
};

/// Monotonic clock that also counts the time for which the machine was suspended. Used for the expiry of leases, which must not
/// still be valid when a suspended host resumes.
class suspend_aware_clock final : public clock {
public:
    [[nodiscard]] instant now() const override;
};

}  // namespace camphorstack
