#pragma once

#include <functional>
#include <map>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::stand_ins {

/// Runs functions once after a delay, in the GLib main loop. The destructor cancels functions that have not run.
class timers {
public:
    timers() = default;
    timers(const timers&) = delete;
    timers& operator=(const timers&) = delete;
    timers(timers&&) = delete;
    timers& operator=(timers&&) = delete;
    ~timers() = default;

    void run_after(millis delay, std::function<void()> callback);

private:
    struct entry {
        timers* owner = nullptr;
        std::uint64_t number = 0;
        std::function<void()> callback;
        g_source_handle source;
    };

    static gboolean run(gpointer data);

    std::uint64_t last_number = 0;
    std::map<std::uint64_t, entry> entries;
};

}  // namespace camphorstack::stand_ins
