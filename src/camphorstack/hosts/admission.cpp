#include "camphorstack/hosts/admission.hpp"

#include <algorithm>

#include "camphorstack/hosts/host_state.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

constexpr millis longest_timeout{60000};

bool is_in_transaction(request_kind kind) {
    return kind == request_kind::statement || kind == request_kind::commit || kind == request_kind::rollback;
}

std::variant<workspace_id, refused_request> workspace_of(const host_state& state, const route& path,
                                                         const caller_request& request) {
    if (request.key_sha256.empty()) {
        if (!path.open_workspace.empty() && request.kind == request_kind::read) {
            return path.open_workspace;
        }
        return refused_request{refusal::bad_key, "this route needs a key", ""};
    }
    const auto found = state.known.workspace_by_key.find(request.key_sha256);
    if (found == state.known.workspace_by_key.end()) {
        return refused_request{refusal::bad_key, "the key is not known or was withdrawn", ""};
    }
    if (std::ranges::find(path.workspaces, found->second) == path.workspaces.end()) {
        return refused_request{refusal::not_routed, "the route is not open to this workspace", found->second};
    }
    return found->second;
}

void read_session(const host_state& state, const caller_request& request, pending_request& pending) {
    pending.session.workspace = pending.workspace;
    if (request.session_token.empty()) {
        return;
    }
    pending.session = parse_session_token(request.session_token, state.settings.token_secret);
    if (pending.session.workspace != pending.workspace) {
        throw format_error("the session belongs to another workspace");
    }
    const auto seen = pending.session.seen.find(request.database);
    if (seen != pending.session.seen.end()) {
        pending.request.session = seen->second;
    }
}

void read_transaction(const host_state& state, const caller_request& request, pending_request& pending) {
    if (!is_in_transaction(request.kind)) {
        return;
    }
    const auto token = parse_transaction_token(request.transaction_token, state.settings.token_secret);
    if (token.workspace != pending.workspace || token.database != request.database) {
        throw format_error("the transaction belongs to another workspace or database");
    }
    pending.transaction_host = token.transaction_host;
    pending.request.transaction = token.transaction;
}

pending_request make_pending(const caller_request& request, const workspace_id& workspace, instant now) {
    pending_request pending;
    pending.request_number = request.request_number;
    pending.workspace = workspace;
    pending.arrived = now;
    pending.deadline = now + std::min(request.timeout, longest_timeout);
    pending.request.workspace = workspace;
    pending.request.database = request.database;
    pending.request.kind = request.kind;
    pending.request.idempotent = request.idempotent;
    pending.request.statement = request.statement;
    pending.request.max_age = request.max_age;
    if (!request.idempotency_key.empty()) {
        // Two workspaces may choose the same key.
        pending.request.idempotency_key = workspace + "/" + request.idempotency_key;
    }
    return pending;
}

}  // namespace

bool counts_against_rate(request_kind kind) {
    return kind != request_kind::commit && kind != request_kind::rollback;
}

std::variant<pending_request, refused_request> admit(const host_state& state, const caller_request& request, instant now) {
    const auto& content = *state.known.store.content;
    const auto* path = find_route(content, request.route);
    if (path == nullptr) {
        return refused_request{refusal::not_routed, "unknown route", ""};
    }
    const auto workspace = workspace_of(state, *path, request);
    if (const auto* refused = std::get_if<refused_request>(&workspace)) {
        return *refused;
    }
    const auto& id = std::get<workspace_id>(workspace);
    const auto* target = find_database(content, request.database);
    if (target == nullptr || target->service != path->service) {
        return refused_request{refusal::not_routed, "the route does not lead to this database", id};
    }
    auto pending = make_pending(request, id, now);
    try {
        read_session(state, request, pending);
        read_transaction(state, request, pending);
    } catch (const format_error& problem) {
        return refused_request{refusal::bad_token, problem.what(), id};
    }
    return pending;
}

}  // namespace camphorstack
