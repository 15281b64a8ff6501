#pragma once

#include <string>
#include <variant>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Answers the session's statement from this host.
void answer_done(session_host_state& state, caller_session& session);

/// Answers with an error; the session's state stays as it is.
void answer_error(session_host_state& state, caller_session& session, result_code code, const std::string& text);

/// Answers with an error; an open transaction fails.
void fail_statement(session_host_state& state, caller_session& session, result_code code, const std::string& text, instant now);

/// Answers with what the endpoint said.
void answer_result(session_host_state& state, caller_session& session, const run_result& result);

/// Ends the session's transaction at its endpoint, if it has begun there; the session is idle then.
void leave_transaction(session_host_state& state, caller_session& session, instant now);

/// Why a session may not run anything.
struct access_refusal {
    result_code code = result_code::busy;
    std::string text;

    friend bool operator==(const access_refusal&, const access_refusal&) = default;
};

/// The session's route and workspace by the document in force.
[[nodiscard]] std::variant<session_access, access_refusal> resolve_access(const session_host_state& state,
                                                                          const caller_session& session);

}  // namespace camphorstack
