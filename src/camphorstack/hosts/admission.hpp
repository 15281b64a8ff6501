#pragma once

#include <string>
#include <variant>

#include "camphorstack/hosts/caller.hpp"
#include "camphorstack/hosts/pending_request.hpp"

namespace camphorstack {

struct host_state;

/// Reason and message for a caller's request that was not admitted.
struct refused_request {
    refusal reason = refusal::none;
    std::string text;
    workspace_id workspace;  ///< Empty if the API key is unknown.

    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// Checks the request's API key, route, database, session token and transaction token against the document in force. Does not
/// count the request against the workspace's rate.
[[nodiscard]] std::variant<pending_request, refused_request> admit(const host_state& state, const caller_request& request,
                                                                   instant now);

/// Returns true for requests that count against the workspace's rate. Commit and rollback do not, so that an admitted
/// transaction can always end.
[[nodiscard]] bool counts_against_rate(request_kind kind);

}  // namespace camphorstack
