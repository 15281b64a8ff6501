#include "camphorstack/support/clock.hpp"

#include <glib.h>

#include <ctime>

namespace camphorstack {

instant monotonic_clock::now() const {
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return instant{g_get_monotonic_time() / microseconds_per_millisecond};
}

std::int64_t system_wall_clock::unix_ms() const {
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return g_get_real_time() / microseconds_per_millisecond;
}

instant suspend_aware_clock::now() const {
    constexpr std::int64_t milliseconds_per_second = 1000;
    constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant{time.tv_sec * milliseconds_per_second + time.tv_nsec / nanoseconds_per_millisecond};
}

}  // namespace camphorstack
