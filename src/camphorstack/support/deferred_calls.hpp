#pragma once

#include <functional>
#include <vector>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Runs functions from the main loop in the order in which they were posted. `post` itself never runs a function.
/// Functions that have not run when the object is destroyed are discarded.
class deferred_calls {
public:
    deferred_calls() = default;
    deferred_calls(const deferred_calls&) = delete;
    deferred_calls& operator=(const deferred_calls&) = delete;
    deferred_calls(deferred_calls&&) = delete;
    deferred_calls& operator=(deferred_calls&&) = delete;
    ~deferred_calls() = default;

    void post(std::function<void()> call);

private:
    static gboolean run(gpointer self);

    std::vector<std::function<void()>> waiting;
    g_source_handle source;
};

}  // namespace camphorstack
