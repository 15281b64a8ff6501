#include "camphorstack/support/deferred_calls.hpp"

#include <utility>

namespace camphorstack {

void deferred_calls::post(std::function<void()> call) {
    this->waiting.push_back(std::move(call));
    if (!this->source.active()) {
        this->source = g_source_handle(g_idle_add_full(G_PRIORITY_HIGH, &deferred_calls::run, this, nullptr));
    }
}

gboolean deferred_calls::run(gpointer self) {
    auto* calls = static_cast<deferred_calls*>(self);
    calls->source.release();
    // Calls that are posted by these calls run in the next iteration, so that a chain of calls cannot starve the sockets.
    const auto batch = std::exchange(calls->waiting, {});
    for (const auto& call : batch) {
        call();
    }
    return G_SOURCE_REMOVE;
}

}  // namespace camphorstack
