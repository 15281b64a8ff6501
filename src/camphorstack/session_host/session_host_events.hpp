#pragma once

#include <variant>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"
#include "camphorstack/coordination/promotion_call.hpp"
#include "camphorstack/executors/endpoint_session.hpp"
#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/sessions/session_events.hpp"

namespace camphorstack {

using session_host_event = std::variant<tick, session_requested, statement_received, session_left, endpoint_session_opened,
                                        endpoint_session_ended, endpoint_session_replied, catalog_answer, promotion_answer,
                                        peer_message, peer_connected, peer_disconnected, peer_not_sent, stop_requested>;

/// A decision that touches a request or changes what the host believes, for the log.
struct decision_line {
    const char* kind = "";    ///< Lines of one kind share a limit.
    std::string text;         ///< "name=value" fields, separated by blanks.
    bool is_failure = false;  ///< Failures are logged before successes.

    friend bool operator==(const decision_line&, const decision_line&) = default;
};

using session_host_action =
    std::variant<accept_session, reject_session, close_session, answer_statement, open_endpoint_session, close_endpoint_session,
                 send_endpoint_statements, catalog_call, promotion_call, send_to_peer, decision_line, host_stopped>;
using session_host_actions = std::vector<session_host_action>;

}  // namespace camphorstack
