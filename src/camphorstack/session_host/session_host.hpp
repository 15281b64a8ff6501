#pragma once

#include <memory>

#include "camphorstack/session_host/session_host_events.hpp"
#include "camphorstack/session_host/session_host_settings.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

struct session_host_state;

struct session_host_state_deleter {
    void operator()(session_host_state* state) const;
};

/// Owning handle of a session host's state, so that users of this header do not need its parts.
using session_host_handle = std::unique_ptr<session_host_state, session_host_state_deleter>;

/// A host that serves sessions and knows only its settings yet.
[[nodiscard]] session_host_handle make_session_host(session_host_settings settings, random_source random, instant now);

/// Takes one event and returns what the tasks around the decisions have to do.
[[nodiscard]] session_host_actions step(session_host_state& state, const session_host_event& event, instant now);

/// Whether the balancer may send new callers.
[[nodiscard]] bool is_ready(const session_host_state& state, instant now);

/// When the next tick is due.
[[nodiscard]] instant next_tick(const session_host_state& state, instant now);

/// Counters in the Prometheus text format.
[[nodiscard]] std::string render_metrics(const session_host_state& state, instant now);

}  // namespace camphorstack
