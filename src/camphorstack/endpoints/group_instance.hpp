#pragma once

#include <optional>

#include "camphorstack/document/document.hpp"
#include "camphorstack/endpoints/endpoint_call.hpp"

namespace camphorstack {

/// State of an instance of the group, as last seen by this host.
struct group_instance {
    endpoint config;
    bool usable = true;      ///< May receive new work.
    instant unusable_since;  ///< When the instance last became unusable.

    bool reported = false;  ///< Has answered at least once.
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;
    log_position position;
    millis replication_age;
    instant reported_at;          ///< When the newest report arrived.
    instant report_requested_at;  ///< When the call answered by the newest report was sent.

    bool up = false;                      ///< False while the instance sends no answers or refuses connections.
    instant last_seen;                    ///< When the last answer arrived.
    std::optional<instant> silent_since;  ///< Start of the first call or connection attempt after the last answer.
    int refusals = 0;                     ///< Consecutive connections that were refused or closed before any answer.

    connection_id control = 0;  ///< Connection for status, fence, promote and follow; 0 if none.
    instant next_connect;       ///< Earliest time of the next attempt to open the control connection.
    instant next_open;          ///< Earliest time of the next attempt to open a connection for statements.
    instant last_polled;        ///< When the last status poll was sent.
    instant busy_until;         ///< No statement is sent before this time, as the instance refused work as busy.

    term_number followed_term = 0;  ///< Term in which the instance confirmed that it follows the primary; 0 if unknown.
    bool caught_up = false;         ///< Has reached `catch_up_target` since it was last down or unusable.
    log_position catch_up_target;
};

}  // namespace camphorstack
