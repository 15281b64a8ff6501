#include "camphorstack/session_host/session_answers.hpp"

#include <algorithm>
#include <iterator>

#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

/// Limits the access to the regions that both the route and the workspace allow. An empty list allows all regions.
void intersect_regions(session_access& access, const std::vector<std::string>& route, const std::vector<std::string>& own) {
    access.in_regions_only = !route.empty() || !own.empty();
    auto first = route.empty() ? own : route;
    auto second = own.empty() ? route : own;
    std::ranges::sort(first);
    std::ranges::sort(second);
    std::ranges::set_intersection(first, second, std::back_inserter(access.regions));
}

/// Refuses what the document does not allow.
access_refusal refuse_by_document(const session_host_state& state, result_code code, const char* text, instant now) {
    if (!may_refuse_for_good(state, now)) {
        return {result_code::busy, "this host's document may lack a change"};
    }
    return {code, text};
}

}  // namespace

void answer_done(session_host_state& state, caller_session& session) {
    answer_statement answer;
    answer.session = session.id;
    answer.state = session.state;
    state.actions.emplace_back(std::move(answer));
}

void answer_error(session_host_state& state, caller_session& session, result_code code, const std::string& text) {
    answer_statement answer;
    answer.session = session.id;
    answer.code = code;
    answer.text = text;
    answer.state = session.state;
    state.actions.emplace_back(std::move(answer));
}

void fail_statement(session_host_state& state, caller_session& session, result_code code, const std::string& text, instant now) {
    if (session.state != session_state::idle) {
        leave_transaction(state, session, now);
        session.state = session_state::failed;
    }
    answer_error(state, session, code, text);
}

void answer_result(session_host_state& state, caller_session& session, const run_result& result) {
    answer_statement answer;
    answer.session = session.id;
    answer.code = result.code;
    answer.text = result.text;
    answer.rows = result.rows;
    answer.proof = result.proof;
    answer.state = session.state;
    answer.position = result.position;
    state.actions.emplace_back(std::move(answer));
}

void leave_transaction(session_host_state& state, caller_session& session, instant now) {
    if (session.transaction && session.transaction->target) {
        const auto& host = session.transaction->target->host;
        if (host == state.settings.self.id) {
            end_transaction(state.executor, {host, session.transaction->number}, now);
        } else {
            send_peer(state, host, transaction_left{session.transaction->number});
        }
    }
    session.transaction.reset();
    session.state = session_state::idle;
}

void log_access_refused(session_host_state& state, const char* kind, const std::string& subject, const access_refusal& refusal,
                        instant now) {
    ++state.access_refusals[refusal.code];
    log_decision(state, kind,
                 subject + " code=" + to_string(refusal.code) + " document=" + std::to_string(state.catalog.content->version) +
                     describe_document_age(state, now) + " reason=" + log_quoted(refusal.text),
                 true);
}

std::variant<session_access, access_refusal> resolve_access(const session_host_state& state, const caller_session& session,
                                                            instant now) {
    const auto& content = *state.catalog.content;
    const auto found = state.catalog.route_by_database.find(session.database);
    if (found == state.catalog.route_by_database.end()) {
        return refuse_by_document(state, result_code::no_database, "no route leads to this database", now);
    }
    const auto& matched = content.routes[found->second];
    session_access access;
    access.database = matched.service;
    access.policy = matched.sessions;
    std::vector<std::string> workspace_regions;
    if (matched.sessions.needs_key) {
        const auto workspace_of_key = state.catalog.workspace_by_key.find(session.key_sha256);
        if (workspace_of_key == state.catalog.workspace_by_key.end()) {
            return refuse_by_document(state, result_code::not_authorized, "the key is not known or was withdrawn", now);
        }
        access.workspace = workspace_of_key->second;
        if (const auto* own = find_workspace(content, workspace_of_key->second); own != nullptr) {
            workspace_regions = own->regions;
        }
    }
    intersect_regions(access, matched.sessions.regions, workspace_regions);
    return access;
}

}  // namespace camphorstack
