#include "stand_ins/timers.hpp"

#include <utility>

namespace camphorstack::stand_ins {

void timers::run_after(millis delay, std::function<void()> callback) {
    auto& added = this->entries[++this->last_number];
    added.owner = this;
    added.number = this->last_number;
    added.callback = std::move(callback);
    added.source = g_source_handle(g_timeout_add(static_cast<guint>(delay.count), &timers::run, &added));
}

gboolean timers::run(gpointer data) {
    auto* const due = static_cast<entry*>(data);
    due->source.release();
    const auto callback = std::move(due->callback);
    due->owner->entries.erase(due->number);
    callback();
    return G_SOURCE_REMOVE;
}

}  // namespace camphorstack::stand_ins
