#pragma once

#include <string>
#include <variant>

#include "camphorstack/hosts/caller.hpp"
#include "camphorstack/hosts/pending_request.hpp"

namespace camphorstack {

struct host_state;

/// Why a caller's request was not admitted.
struct refused_request {
    refusal reason = refusal::none;
    std::string text;
    workspace_id workspace;  ///< Empty if the key is not known.

    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// Checks key, route, database and tokens against the document in force. Does not spend tokens of the rate.
[[nodiscard]] std::variant<pending_request, refused_request> admit(const host_state& state, const caller_request& request,
                                                                   instant now);

/// True for requests that count against the workspace's rate; a transaction that was admitted can always end.
[[nodiscard]] bool counts_against_rate(request_kind kind);

}  // namespace camphorstack
