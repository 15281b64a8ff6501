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

/// The decisions of a host as its task uses them; `make_host_functions(host_handle)` makes the real ones.
struct host_functions {
    std::function<host_actions(const host_event&, instant)> step;
    std::function<host_report(instant)> report;
};

/// Wraps a host's state; the returned functions own it.
[[nodiscard]] host_functions make_host_functions(host_handle host);

/// What carries out actions on sockets. Called on the main loop's thread, never while it is inside one of its own calls.
class host_links {
public:
    host_links() = default;
    host_links(const host_links&) = delete;
    host_links& operator=(const host_links&) = delete;
    host_links(host_links&&) = delete;
    host_links& operator=(host_links&&) = delete;
    virtual ~host_links() = default;

    virtual void carry_out(const host_action& action) = 0;
    virtual void leave_balancer() = 0;
    /// True once every answer to a caller has been written.
    [[nodiscard]] virtual bool is_drained() const = 0;
};

/// Makes the links of a host, given where their events and the operators' pages come from.
using host_links_factory = std::function<std::unique_ptr<host_links>(event_sink, std::function<host_report()>)>;

/// Runs one host on the main loop: feeds it events and ticks, and carries out its actions. Events that arrive during a step
/// wait until it has ended.
class host_task {
public:
    /// `stopped` is called once, from the main loop, when the host has left and every answer has been written.
    /// Links that cannot be opened throw io_error. `time` must outlive the task.
    host_task(host_functions decisions, const host_links_factory& make_links, const clock& time, std::function<void()> stopped);
    host_task(const host_task&) = delete;
    host_task& operator=(const host_task&) = delete;
    host_task(host_task&&) = delete;
    host_task& operator=(host_task&&) = delete;
    ~host_task();

    void on_event(host_event event);
    /// Leaves the load balancer and asks the host to stop. Further calls have no effect.
    void request_stop();

private:
    void carry_out(const host_action& action);
    void on_host_stopped();

    host_functions host;
    const clock& source_of_time;
    std::function<void()> on_stopped;
    std::deque<host_event> waiting;
    bool stepping = false;
    bool stopping = false;
    std::unique_ptr<host_links> links;
    g_source_handle ticker;
    g_source_handle drain_check;
    instant drain_deadline;
};

}  // namespace camphorstack
