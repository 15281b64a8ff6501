#pragma once

#include <functional>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::tests {

/// Runs the main loop until the condition holds. False if it does not within `limit`.
inline bool run_until(const std::function<bool()>& condition, millis limit = millis{5000}) {
    const monotonic_clock time;
    const auto end = time.now() + limit;
    // The timer bounds the wait inside of an iteration.
    const g_source_handle wakeup_timer(g_timeout_add(
        5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr));
    while (!condition()) {
        if (time.now() >= end) {
            return false;
        }
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

inline void run_for(millis span) {
    run_until([] { return false; }, span);
}

}  // namespace camphorstack::tests
