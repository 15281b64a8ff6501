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

/// Charges `after` bytes in place of `before` to the session.
void change_held_bytes(session_host_state& state, caller_session& session, std::size_t before, std::size_t after) {
    session.held_bytes = session.held_bytes - before + after;
    state.session_bytes = state.session_bytes - before + after;
}

std::size_t bytes_of_value(const caller_session& session, const std::string& name) {
    const auto place = std::ranges::lower_bound(session.values, name, {}, &session_value::name);
    return place != session.values.end() && place->name == name ? name.size() + place->value.size() : 0;
}

std::size_t bytes_of_shape(const caller_session& session, const std::string& name) {
    const auto found = session.prepared.find(name);
    return found == session.prepared.end() ? 0 : name.size() + found->second.shape.size();
}

/// Stores a session value or a prepared shape. Fails the statement if the session would hold too much.
void store_in_session(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    const bool is_value = requested.kind == statement_kind::set_value;
    const auto before = is_value ? bytes_of_value(session, requested.name) : bytes_of_shape(session, requested.name);
    const auto after = requested.name.size() + requested.argument.size();
    if (after > before && session.held_bytes - before + after > state.settings.entry.session_state_limit) {
        ++state.refused_messages[result_code::too_large];
        log_decision(state, "statement_refused",
                     "request=" + log_value(requested.id) + " database=" + log_value(session.database) +
                         " code=too_large held_bytes=" + std::to_string(session.held_bytes),
                     true);
        fail_statement(state, session, result_code::too_large, "the session holds too many values and prepared statements", now);
        return;
    }
    change_held_bytes(state, session, before, after);
    if (is_value) {
        set_value(session, requested);
    } else {
        session.prepared[requested.name] = {requested.argument, requested.writes};
    }
    answer_done(state, session);
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
        case statement_kind::prepare:
            store_in_session(state, session, requested, now);
            break;
        case statement_kind::deallocate:
            change_held_bytes(state, session, bytes_of_shape(session, requested.name), 0);
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

/// Closes the sessions that hold the most values and shapes until all together are below their limit.
void close_greediest_sessions(session_host_state& state, instant now) {
    while (state.session_bytes > state.settings.entry.all_session_state_limit) {
        const auto greediest =
            std::ranges::max_element(state.sessions, {}, [](const auto& item) { return item.second.held_bytes; });
        const auto bytes = greediest->second.held_bytes;
        record_closed_caller(state, {greediest->first, caller_close_reason::session_values, "", bytes});
        disconnect_session(state, greediest->first, now);
    }
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
    close_greediest_sessions(state, now);
}

void advance_session(session_host_state& state, caller_session& session, instant now) {
    while (!session.operation && !session.waiting.empty()) {
        const auto requested = std::move(session.waiting.front());
        session.waiting.pop_front();
        begin_statement(state, session, requested, now);
    }
}

void record_closed_caller(session_host_state& state, const caller_closed& event) {
    ++state.closed_callers[event.reason];
    std::string text = "session=" + std::to_string(event.session) + " caller=" + log_value(event.address) +
                       " reason=" + to_string(event.reason) + " bytes=" + std::to_string(event.bytes);
    if (const auto found = state.sessions.find(event.session); found != state.sessions.end()) {
        const auto key = state.catalog.workspace_by_key.find(found->second.key_sha256);
        text += " workspace=" + log_value(key == state.catalog.workspace_by_key.end() ? "" : key->second) +
                " database=" + log_value(found->second.database);
    }
    log_decision(state, "caller_closed", std::move(text), true);
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
    state.session_bytes -= session.held_bytes;
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
