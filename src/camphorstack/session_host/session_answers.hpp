#pragma once

#include <string>
#include <variant>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Answers the session's statement with success, without an endpoint's result.
void answer_done(session_host_state& state, caller_session& session);

/// Answers the session's statement with an error. Leaves the session's state unchanged.
void answer_error(session_host_state& state, caller_session& session, result_code code, const std::string& text);

/// Answers the session's statement with an error. An open transaction is rolled back and marked as failed.
void fail_statement(session_host_state& state, caller_session& session, result_code code, const std::string& text, instant now);

/// Answers the session's statement with an endpoint's result.
void answer_result(session_host_state& state, caller_session& session, const run_result& result);

/// Ends the session's transaction, at the endpoint too if it has begun there, and sets the session to idle.
void leave_transaction(session_host_state& state, caller_session& session, instant now);

/// Reason for a refusal by a host that may not serve.
constexpr const char* no_recent_document = "this host cannot prove that its document is recent";

/// Reason for which a session may not run any operation.
struct access_refusal {
    result_code code = result_code::busy;
    std::string text;

    friend bool operator==(const access_refusal&, const access_refusal&) = default;
};

/// Logs and counts the refusal of a session or an operation, with the document that decided it. `subject` says what was refused.
void log_access_refused(session_host_state& state, const char* kind, const std::string& subject, const access_refusal& refusal,
                        instant now);

/// Returns the session's route and workspace by the document in force, or the reason for which it has no access. The refusal is
/// `busy`, which callers retry, if the document may lack a change that gives access.
[[nodiscard]] std::variant<session_access, access_refusal> resolve_access(const session_host_state& state,
                                                                          const caller_session& session, instant now);

}  // namespace camphorstack
