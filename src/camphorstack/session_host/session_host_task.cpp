#include "camphorstack/session_host/session_host_task.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/session_host/shutdown.hpp"

namespace camphorstack {

namespace {

constexpr guint drain_check_interval_ms = 20;
/// Time limit for callers to close their connections once they have their last answers.
constexpr millis drain_timeout{500};

/// Readings only need to be recent when hosts compare their clocks.
constexpr millis wall_reading_interval{1000};

}  // namespace

session_host_task::session_host_task(session_host_handle decisions, const session_links_factory& make_links, const clock& time,
                                     const wall_clock& wall, std::function<void(const decision_line&)> log,
                                     std::function<void()> stopped)
    : host(std::move(decisions)),
      source_of_time(time),
      source_of_date(wall),
      on_stopped(std::move(stopped)),
      on_decision(std::move(log)) {
    this->links =
        make_links([this](session_host_event event) { this->on_event(std::move(event)); },
                   monitoring_callbacks{
                       [this]() { return is_ready(*this->host, this->source_of_time.now()); },
                       [this]() { return describe_unready(*this->host, this->source_of_time.now()); },
                       [this]() { return this->metrics.render() + render_metrics(*this->host, this->source_of_time.now()); }});
    this->read_wall_clock();
    this->on_event(tick{});
    this->schedule_tick();
}

session_host_task::~session_host_task() = default;

void session_host_task::read_wall_clock() {
    const auto now = this->source_of_time.now();
    if (now >= this->next_wall_reading) {
        this->next_wall_reading = now + wall_reading_interval;
        this->on_event(wall_clock_read{this->source_of_date.unix_ms()});
    }
}

void session_host_task::schedule_tick() {
    const auto now = this->source_of_time.now();
    const auto wait = std::max<std::int64_t>(1, (next_tick(*this->host, now) - now).count);
    const auto on_tick = +[](gpointer self) -> gboolean {
        auto* const task = static_cast<session_host_task*>(self);
        task->ticker.release();
        task->read_wall_clock();
        task->on_event(tick{});
        task->schedule_tick();
        return G_SOURCE_REMOVE;
    };
    this->ticker = g_source_handle(g_timeout_add(static_cast<guint>(wait), on_tick, this));
}

void session_host_task::on_event(session_host_event event) {
    this->waiting.push_back(std::move(event));
    if (this->stepping) {
        return;
    }
    this->stepping = true;
    while (!this->waiting.empty()) {
        const session_host_event next = std::move(this->waiting.front());
        this->waiting.pop_front();
        for (const auto& action : step(*this->host, next, this->source_of_time.now())) {
            this->carry_out(action);
        }
    }
    this->stepping = false;
}

void session_host_task::request_stop() {
    this->on_event(stop_requested{});
}

void session_host_task::carry_out(const session_host_action& action) {
    if (const auto* line = std::get_if<decision_line>(&action)) {
        this->on_decision(*line);
    } else if (const auto* sample = std::get_if<request_sample>(&action)) {
        this->metrics.record(*sample);
    } else if (std::holds_alternative<host_stopped>(action)) {
        this->on_host_stopped();
    } else {
        this->links->carry_out(action);
    }
}

void session_host_task::on_host_stopped() {
    if (this->drain_check.active()) {
        return;
    }
    this->drain_deadline = this->source_of_time.now() + drain_timeout;
    this->answer_deadline = std::max(this->drain_deadline, last_answer_deadline(*this->host));
    const auto on_check = +[](gpointer self) -> gboolean {
        auto* const task = static_cast<session_host_task*>(self);
        const auto now = task->source_of_time.now();
        const bool waits_for_close = !task->links->is_drained() && now < task->drain_deadline;
        const bool waits_for_answers = task->links->has_untaken_answers() && now < task->answer_deadline;
        if (waits_for_close || waits_for_answers) {
            return G_SOURCE_CONTINUE;
        }
        task->drain_check.release();
        task->on_stopped();
        return G_SOURCE_REMOVE;
    };
    this->drain_check = g_source_handle(g_timeout_add(drain_check_interval_ms, on_check, this));
}

}  // namespace camphorstack
