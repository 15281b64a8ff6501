#pragma once

#include <gio/gio.h>

#include <functional>

/// Iterates the main context until the condition holds. False if it does not within `limit_ms`.
inline bool run_until(const std::function<bool()>& condition, int limit_ms = 5000) {
    constexpr int microseconds_per_millisecond = 1000;
    constexpr guint wake_interval_ms = 5;
    const gint64 end = g_get_monotonic_time() + gint64{limit_ms} * microseconds_per_millisecond;
    const guint waker = g_timeout_add(
        wake_interval_ms, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
    bool holds = condition();
    while (!holds && g_get_monotonic_time() < end) {
        g_main_context_iteration(nullptr, TRUE);
        holds = condition();
    }
    g_source_remove(waker);
    return holds;
}
