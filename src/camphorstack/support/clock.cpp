#include "camphorstack/support/clock.hpp"

#include <glib.h>

namespace camphorstack {

instant monotonic_clock::now() const {
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return instant{g_get_monotonic_time() / microseconds_per_millisecond};
}

}  // namespace camphorstack
