#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "camphorstack/hosts/host.hpp"
#include "camphorstack/hosts/host_report.hpp"
#include "camphorstack/links/event_sink.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// The functions of a host's decision logic that its task calls. Tests may replace those of `make_host_functions`.
struct host_functions {
    std::function<host_actions(const host_event&, instant)> step;
    std::function<host_report(instant)> report;
};

/// Makes the functions for a host's state; they share ownership of it.
[[nodiscard]] host_functions make_host_functions(host_handle host);

/// Carries out a host's actions on its sockets. Its functions are called on the thread of the main loop and are never reentered.
class host_links {
public:
    host_links() = default;
    host_links(const host_links&) = delete;
    host_links& operator=(const host_links&) = delete;
    host_links(host_links&&) = delete;
    host_links& operator=(host_links&&) = delete;
    virtual ~host_links() = default;

    virtual void carry_out(const host_action& action) = 0;
    /// Makes the load balancer stop sending callers to this host.
    virtual void leave_balancer() = 0;
    /// Returns true once every reply to a caller has been written.
    [[nodiscard]] virtual bool is_drained() const = 0;
};

/// Makes the links of a host from the sink for their events and the function that reports the host's state to operators.
using host_links_factory = std::function<std::unique_ptr<host_links>(event_sink, std::function<host_report()>)>;

/// Runs one host on the main loop: passes events and ticks to its decision logic and carries out the actions. Events that arrive
/// during a step are queued until the step has ended.
class host_task {
public:
    /// `stopped` is called once, from the main loop, when the host has left the fleet and every reply has been written.
    /// Throws io_error if a link cannot be opened. `time` must outlive the task.
    host_task(host_functions decisions, const host_links_factory& make_links, const clock& time, std::function<void()> stopped);
    host_task(const host_task&) = delete;
    host_task& operator=(const host_task&) = delete;
    host_task(host_task&&) = delete;
    host_task& operator=(host_task&&) = delete;
    ~host_task();

    void on_event(host_event event);
    /// Starts a graceful stop: leaves the load balancer and passes `stop_requested` to the host. Further calls have no effect.
    void request_stop();

private:
    void carry_out(const host_action& action);
    void on_host_stopped();

    host_functions host;
    const clock& source_of_time;
    std::function<void()> on_stopped;
    std::deque<host_event> queued_events;
    bool is_stepping = false;
    bool stopping = false;
    std::unique_ptr<host_links> links;
    g_source_handle ticker;
    g_source_handle drain_check;
    instant drain_deadline;
};

}  // namespace camphorstack
