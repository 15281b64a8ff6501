#pragma once

#include <optional>

#include "camphorstack/document/document.hpp"
#include "camphorstack/endpoints/endpoint_call.hpp"

namespace camphorstack {

/// An instance of the group as this host last saw it.
struct group_instance {
    endpoint config;
    bool usable = true;      ///< May receive new work.
    instant unusable_since;  ///< When it ceased to be usable.

    bool reported = false;  ///< Has answered at least once.
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;
    log_position position;
    millis replication_age;
    instant reported_at;          ///< When the newest report arrived.
    instant report_requested_at;  ///< When the call was sent that the newest report answers.

    bool up = false;
    instant last_seen;                    ///< When any answer arrived last.
    std::optional<instant> silent_since;  ///< When the first call or connection attempt without any later answer started.
    int refusals = 0;                     ///< Connection attempts refused in a row.

    connection_id control = 0;  ///< Connection for status, fence, promote and follow; 0 if none.
    instant next_connect;       ///< Earliest time of the next attempt to open the control connection.
    instant next_open;          ///< Earliest time of the next attempt to open a connection for statements.
    instant last_polled;        ///< When the last status poll was sent.
    instant busy_until;         ///< The instance refused work as busy; no statement is sent before this.

    term_number followed_term = 0;  ///< Term in which the instance confirmed to follow, as far as this host knows.
    bool caught_up = false;         ///< Has reached `catch_up_target` since it was down or unusable.
    log_position catch_up_target;
};

}  // namespace camphorstack
