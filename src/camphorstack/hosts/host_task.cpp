#include "camphorstack/hosts/host_task.hpp"

#include <glog/logging.h>

#include <utility>

namespace camphorstack {

namespace {

constexpr guint tick_interval_ms = 5;
constexpr guint drain_check_interval_ms = 10;
/// A caller that does not read its answer holds the process up no longer than this.
constexpr millis drain_patience{2000};

}  // namespace

host_functions make_host_functions(host_handle host) {
    const std::shared_ptr<host_state> shared = std::move(host);
    return {[shared](const host_event& event, instant now) { return step(*shared, event, now); },
            [shared](instant now) { return report(*shared, now); }};
}

host_task::host_task(host_functions decisions, const host_links_factory& make_links, const clock& time,
                     std::function<void()> stopped)
    : host(std::move(decisions)), source_of_time(time), on_stopped(std::move(stopped)) {
    this->links = make_links([this](host_event event) { this->on_event(std::move(event)); },
                             [this]() { return this->host.report(this->source_of_time.now()); });
    const auto on_tick = +[](gpointer self) -> gboolean {
        static_cast<host_task*>(self)->on_event(tick{});
        return G_SOURCE_CONTINUE;
    };
    this->ticker = g_source_handle(g_timeout_add(tick_interval_ms, on_tick, this));
}

host_task::~host_task() = default;

void host_task::on_event(host_event event) {
    this->waiting.push_back(std::move(event));
    if (this->stepping) {
        return;
    }
    this->stepping = true;
    while (!this->waiting.empty()) {
        const host_event next = std::move(this->waiting.front());
        this->waiting.pop_front();
        for (const auto& action : this->host.step(next, this->source_of_time.now())) {
            this->carry_out(action);
        }
    }
    this->stepping = false;
}

void host_task::request_stop() {
    if (this->stopping) {
        return;
    }
    this->stopping = true;
    LOG(INFO) << "event=stop_requested";
    this->links->leave_balancer();
    this->on_event(stop_requested{});
}

void host_task::carry_out(const host_action& action) {
    if (const auto* record = std::get_if<decision_record>(&action)) {
        LOG(INFO) << "event=" << record->kind << " subject=" << record->subject << ' ' << record->observations;
    } else if (std::holds_alternative<host_stopped>(action)) {
        this->on_host_stopped();
    } else {
        this->links->carry_out(action);
    }
}

void host_task::on_host_stopped() {
    if (this->drain_check.active()) {
        return;
    }
    this->drain_deadline = this->source_of_time.now() + drain_patience;
    const auto on_check = +[](gpointer self) -> gboolean {
        auto* task = static_cast<host_task*>(self);
        if (!task->links->is_drained() && task->source_of_time.now() < task->drain_deadline) {
            return G_SOURCE_CONTINUE;
        }
        task->drain_check.release();
        LOG(INFO) << "event=host_stopped drained=" << (task->links->is_drained() ? "yes" : "no");
        task->on_stopped();
        return G_SOURCE_REMOVE;
    };
    this->drain_check = g_source_handle(g_timeout_add(drain_check_interval_ms, on_check, this));
}

}  // namespace camphorstack
