#pragma once

#include <memory>
#include <string>

#include "camphorstack/session_host/session_host_events.hpp"
#include "camphorstack/session_host/session_host_settings.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

struct session_host_state;

/// Deletes a session host's state, whose type is incomplete for users of this header.
struct session_host_state_deleter {
    void operator()(session_host_state* state) const;
};

/// Owning handle of a session host's state, so that users of this header do not need its parts.
using session_host_handle = std::unique_ptr<session_host_state, session_host_state_deleter>;

/// Creates the state of a session host that knows only its settings.
[[nodiscard]] session_host_handle make_session_host(session_host_settings settings, random_source random, instant now);

/// Handles one event and returns the actions that the caller has to carry out.
[[nodiscard]] session_host_actions step(session_host_state& state, const session_host_event& event, instant now);

/// Returns true if the load balancer may send new callers to this host.
[[nodiscard]] bool is_ready(const session_host_state& state, instant now);

/// Returns why the host is not ready, one reason a line; empty if it is ready.
[[nodiscard]] std::string describe_unready(const session_host_state& state, instant now);

/// Returns the time at which the next tick is due.
[[nodiscard]] instant next_tick(const session_host_state& state, instant now);

/// Formats the host's counters and gauges in the Prometheus text format.
[[nodiscard]] std::string render_metrics(const session_host_state& state, instant now);

}  // namespace camphorstack
