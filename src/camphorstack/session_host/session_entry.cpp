#include "camphorstack/session_host/session_entry.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "camphorstack/session_host/operations.hpp"
#include "camphorstack/session_host/session_answers.hpp"
#include "camphorstack/session_host/shutdown.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

void set_value(caller_session& session, const statement& requested) {
    const auto place = std::ranges::lower_bound(session.values, requested.name, {}, &session_value::name);
    if (place != session.values.end() && place->name == requested.name) {
        place->value = requested.argument;
    } else {
        session.values.insert(place, {requested.name, requested.argument});
    }
}

void begin_transaction(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    if (session.state != session_state::idle) {
        answer_error(state, session, result_code::malformed, "a transaction is open already");
        return;
    }
    start_operation(state, session, requested, now);
}

/// Handles a statement in a failed transaction: only a commit or a rollback is accepted, and either rolls the transaction back.
void end_failed_transaction(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    if (requested.kind != statement_kind::commit && requested.kind != statement_kind::rollback) {
        answer_error(state, session, result_code::malformed, "the transaction has failed and must be ended");
        return;
    }
    leave_transaction(state, session, now);
    if (requested.kind == statement_kind::commit) {
        answer_error(state, session, result_code::aborted, "the transaction had failed and was rolled back");
    } else {
        answer_done(state, session);
    }
}

void execute(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    if (!session.prepared.contains(requested.name)) {
        fail_statement(state, session, result_code::no_statement, "no prepared statement has this name", now);
        return;
    }
    start_operation(state, session, requested, now);
}

void begin_statement(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    session.last_used = now;
    if (requested.kind == statement_kind::malformed) {
        ++state.refused_messages[result_code::malformed];
        log_decision(state, "statement_refused",
                     "request=" + log_value(requested.id) + " database=" + log_value(session.database) +
                         " code=malformed bytes=" + std::to_string(requested.text.size()),
                     true);
        answer_error(state, session, result_code::malformed, "the statement is not understood");
        return;
    }
    if (session.state == session_state::failed) {
        end_failed_transaction(state, session, requested, now);
        return;
    }
    switch (requested.kind) {
        case statement_kind::set_value:
            set_value(session, requested);
            answer_done(state, session);
            break;
        case statement_kind::prepare:
            session.prepared[requested.name] = {requested.argument, requested.writes};
            answer_done(state, session);
            break;
        case statement_kind::deallocate:
            if (session.prepared.erase(requested.name) == 0) {
                fail_statement(state, session, result_code::no_statement, "no prepared statement has this name", now);
            } else {
                answer_done(state, session);
            }
            break;
        case statement_kind::begin:
        case statement_kind::begin_read_only:
            begin_transaction(state, session, requested, now);
            break;
        case statement_kind::rollback:
            if (session.state == session_state::idle) {
                answer_error(state, session, result_code::malformed, "no transaction is open");
            } else {
                leave_transaction(state, session, now);
                answer_done(state, session);
            }
            break;
        case statement_kind::commit:
            if (session.state == session_state::idle) {
                answer_error(state, session, result_code::malformed, "no transaction is open");
            } else {
                start_operation(state, session, requested, now);
            }
            break;
        case statement_kind::execute:
            execute(state, session, requested, now);
            break;
        case statement_kind::read:
        case statement_kind::write:
            start_operation(state, session, requested, now);
            break;
        case statement_kind::malformed:
            break;
    }
}

bool is_idle(const caller_session& session) {
    return session.state == session_state::idle && !session.operation && session.waiting.empty();
}

/// Returns the reason for which a new session is refused; nothing if it is accepted.
std::optional<access_refusal> reason_to_refuse(const session_host_state& state, const caller_session& session, instant now) {
    // A session accepted this late in a shutdown would be closed when the process exits.
    if (refuses_new_sessions(state, now)) {
        return access_refusal{result_code::busy, "this host is about to end"};
    }
    if (!may_serve(state, now)) {
        return access_refusal{result_code::busy, no_recent_document};
    }
    const auto access = resolve_access(state, session, now);
    const auto* refused = std::get_if<access_refusal>(&access);
    return refused == nullptr ? std::nullopt : std::optional(*refused);
}

}  // namespace

void receive_session(session_host_state& state, const session_requested& event, instant now) {
    caller_session session;
    session.id = event.session;
    session.database = event.database;
    session.key_sha256 = event.key_sha256;
    session.last_used = now;
    if (const auto refused = reason_to_refuse(state, session, now)) {
        log_access_refused(state, "session_refused", "database=" + log_value(event.database), *refused, now);
        state.actions.emplace_back(reject_session{event.session, refused->code, refused->text});
        return;
    }
    state.sessions.emplace(event.session, std::move(session));
    state.actions.emplace_back(accept_session{event.session});
}

void receive_statement(session_host_state& state, const statement_received& event, instant now) {
    const auto found = state.sessions.find(event.session);
    if (found == state.sessions.end()) {
        return;
    }
    auto& session = found->second;
    if (session.waiting.size() >= state.settings.entry.max_waiting_statements) {
        disconnect_session(state, session.id, now);
        return;
    }
    session.sends_ahead = session.sends_ahead || session.operation.has_value();
    session.waiting.push_back(event.requested);
    advance_session(state, session, now);
}

void advance_session(session_host_state& state, caller_session& session, instant now) {
    while (!session.operation && !session.waiting.empty()) {
        const auto requested = std::move(session.waiting.front());
        session.waiting.pop_front();
        begin_statement(state, session, requested, now);
    }
}

void record_refused_message(session_host_state& state, const message_refused& event) {
    ++state.refused_messages[event.code];
    log_decision(state, "message_refused",
                 "session=" + std::to_string(event.session) + " started=" + (event.started ? "yes" : "no") +
                     " code=" + to_string(event.code) + " bytes=" + std::to_string(event.bytes),
                 true);
}

void receive_session_ended(session_host_state& state, const session_ended& event, instant now) {
    const auto found = state.sessions.find(event.session);
    if (found == state.sessions.end()) {
        return;
    }
    auto& session = found->second;
    leave_transaction(state, session, now);
    if (session.operation) {
        state.runs.erase(session.operation->run);
    }
    state.waiting_sessions.erase(session.id);
    state.sessions.erase(found);
}

void disconnect_session(session_host_state& state, session_id id, instant now) {
    state.actions.emplace_back(close_session{id});
    receive_session_ended(state, {id}, now);
}

void close_idle_sessions(session_host_state& state, instant now) {
    std::vector<session_id> idle;
    for (const auto& [id, session] : state.sessions) {
        if (is_idle(session)) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        disconnect_session(state, id, now);
    }
}

void close_answered_sessions(session_host_state& state, bool may_have_sent_ahead, instant now) {
    std::set<session_id> answered;
    for (const auto& action : state.actions) {
        const auto* answer = std::get_if<answer_statement>(&action);
        const auto found = answer == nullptr ? state.sessions.end() : state.sessions.find(answer->session);
        if (found != state.sessions.end() && is_idle(found->second) && (may_have_sent_ahead || !found->second.sends_ahead)) {
            answered.insert(found->first);
        }
    }
    for (const auto id : answered) {
        disconnect_session(state, id, now);
    }
}

}  // namespace camphorstack
