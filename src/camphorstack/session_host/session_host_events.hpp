#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"
#include "camphorstack/coordination/promotion_call.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"
#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/sessions/session_events.hpp"
#include "camphorstack/support/metrics.hpp"
#include "camphorstack/usage/usage_call.hpp"

namespace camphorstack {

/// Changed settings that a host applies while it runs. All other settings take effect at its next start.
struct settings_changed {
    std::map<data_centre_id, std::string> regions;  ///< Region of each data centre.
    millis stop_grace;                              ///< Time from the request to stop until the process is killed.
    millis document_lifetime;  ///< Age of the document's evidence beyond which no request with a key is accepted.
    millis refusal_lifetime;   ///< Age of the document's evidence beyond which nobody is refused for good.

    friend bool operator==(const settings_changed&, const settings_changed&) = default;
};

/// Input of a session host.
using session_host_event =
    std::variant<tick, settings_changed, session_requested, statement_received, message_refused, caller_closed, session_ended,
                 endpoint_connection_opened, endpoint_connection_ended, endpoint_reply_received, catalog_answer_begun,
                 catalog_answer, promotion_answer, usage_answer, wall_clock_read, peer_message, peer_connected, peer_disconnected,
                 peer_not_sent, stop_requested>;

/// Log entry for a decision about a request or a change of the host's view of the fleet.
struct decision_line {
    const char* kind = "";    ///< Event name. Each kind has its own rate limit in the log.
    std::string text;         ///< "name=value" fields, separated by spaces.
    bool is_failure = false;  ///< Failures are logged before successes.

    friend bool operator==(const decision_line&, const decision_line&) = default;
};

/// Output of a session host.
using session_host_action =
    std::variant<accept_session, reject_session, close_session, answer_statement, open_endpoint_connection,
                 close_endpoint_connection, send_endpoint_statements, catalog_call, promotion_call, usage_call, send_to_peer,
                 request_sample, decision_line, host_stopped>;
using session_host_actions = std::vector<session_host_action>;

}  // namespace camphorstack
