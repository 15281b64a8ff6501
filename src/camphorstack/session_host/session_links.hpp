#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorstack/session_host/session_host_events.hpp"

namespace camphorstack {

/// Delivers an event to the session host's task. Called on the main loop's thread, never from inside a call into a link.
using session_event_sink = std::function<void(session_host_event)>;

/// Callbacks through which the links answer readiness and metrics requests.
struct monitoring_callbacks {
    std::function<bool()> is_ready;
    std::function<std::string()> unready_text;  ///< Why the host is not ready, one reason a line.
    std::function<std::string()> metrics;
};

/// Carries out a session host's actions on sockets. Must be called on the main loop's thread, and not from inside one of its own
/// calls.
class session_links {
public:
    session_links() = default;
    session_links(const session_links&) = delete;
    session_links& operator=(const session_links&) = delete;
    session_links(session_links&&) = delete;
    session_links& operator=(session_links&&) = delete;
    virtual ~session_links() = default;

    /// Carries out one action.
    virtual void carry_out(const session_host_action& action) = 0;
    /// Returns true if all connections of callers that were to be closed are closed.
    [[nodiscard]] virtual bool is_drained() const = 0;
    /// Returns true if a caller whose connection is being closed has not taken all of its answers.
    [[nodiscard]] virtual bool has_untaken_answers() const = 0;
};

/// Creates the links of a session host. The links pass their events to the sink.
using session_links_factory = std::function<std::unique_ptr<session_links>(session_event_sink, monitoring_callbacks)>;

}  // namespace camphorstack
