#pragma once

#include <memory>

#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/hosts/host_settings.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

struct host_state;

struct host_state_deleter {
    void operator()(host_state* state) const;
};

/// Owning handle of a host's state, so that users of this header do not depend on the headers of its parts.
using host_handle = std::unique_ptr<host_state, host_state_deleter>;

/// Makes a host that knows only its settings: no document and no agreed member list.
[[nodiscard]] host_handle make_host(host_settings settings, random_source random, instant now);

/// Processes one event and returns the actions that the caller has to carry out.
[[nodiscard]] host_actions step(host_state& state, const host_event& event, instant now);

}  // namespace camphorstack
