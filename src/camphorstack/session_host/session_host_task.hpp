#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "camphorstack/session_host/session_host.hpp"
#include "camphorstack/session_host/session_links.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Runs one session host on the main loop: passes events and ticks to it and carries out its actions. Events that arrive during a
/// step are queued until the step has ended.
class session_host_task {
public:
    /// Reads `wall` about once a second. Calls `log` for each decision, and `stopped` once, from the main loop, when the host has
    /// shut down. `time` and `wall` must outlive the task. Throws io_error if a link cannot be opened.
    session_host_task(session_host_handle decisions, const session_links_factory& make_links, const clock& time,
                      const wall_clock& wall, std::function<void(const decision_line&)> log, std::function<void()> stopped);
    session_host_task(const session_host_task&) = delete;
    session_host_task& operator=(const session_host_task&) = delete;
    session_host_task(session_host_task&&) = delete;
    session_host_task& operator=(session_host_task&&) = delete;
    ~session_host_task();

    void on_event(session_host_event event);
    void request_stop();

private:
    void carry_out(const session_host_action& action);
    void schedule_tick();
    void on_host_stopped();
    void read_wall_clock();

    session_host_handle host;
    request_metrics metrics;
    const clock& source_of_time;
    const wall_clock& source_of_date;
    instant next_wall_reading;
    std::function<void()> on_stopped;
    std::function<void(const decision_line&)> on_decision;
    std::deque<session_host_event> waiting;
    bool stepping = false;
    std::unique_ptr<session_links> links;
    g_source_handle ticker;
    g_source_handle drain_check;
    instant drain_deadline;   ///< The process ends then at the latest, unless answers are still being taken.
    instant answer_deadline;  ///< The process ends then at the latest.
};

}  // namespace camphorstack
