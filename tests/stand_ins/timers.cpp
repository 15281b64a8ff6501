#include "stand_ins/timers.hpp"

#include <utility>

namespace camphorstack::stand_ins {

void timers::after(millis delay, std::function<void()> call) {
    auto& added = this->entries[++this->last];
    added.owner = this;
    added.number = this->last;
    added.call = std::move(call);
    added.source = g_source_handle(g_timeout_add(static_cast<guint>(delay.count), &timers::run, &added));
}

gboolean timers::run(gpointer data) {
    auto* const due = static_cast<entry*>(data);
    due->source.release();
    const auto call = std::move(due->call);
    due->owner->entries.erase(due->number);
    call();
    return G_SOURCE_REMOVE;
}

}  // namespace camphorstack::stand_ins
