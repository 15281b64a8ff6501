#include "camphorstack/session_host/operations.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/session_host/position_requests.hpp"
#include "camphorstack/session_host/routing.hpp"
#include "camphorstack/session_host/run_time_limits.hpp"
#include "camphorstack/session_host/session_answers.hpp"
#include "camphorstack/session_host/session_entry.hpp"
#include "camphorstack/session_host/shutdown.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

/// Limit on the runs of one operation; without it, runs that are refused at once would follow each other without end. Allows
/// three endpoints and a second attempt at one of them through another host.
constexpr int max_attempts = 4;

run_kind kind_of(const caller_session& session, const statement& requested) {
    if (requested.kind == statement_kind::commit) {
        return run_kind::commit;
    }
    if (requested.kind == statement_kind::execute) {
        return session.prepared.at(requested.name).writes ? run_kind::write : run_kind::read;
    }
    return requested.kind == statement_kind::write ? run_kind::write : run_kind::read;
}

/// Returns true if the session has no transaction, or one that has not begun at an endpoint yet.
bool may_choose_endpoint(const caller_session& session) {
    return !session.transaction || !session.transaction->target;
}

bool needs_leader(const caller_session& session, const open_operation& operation) {
    if (session.transaction) {
        return !session.transaction->read_only;
    }
    return operation.kind != run_kind::read;
}

std::string describe(const caller_session& session, const open_operation& operation) {
    return "request=" + log_value(operation.requested.id) + " session=" + std::to_string(session.id) +
           " workspace=" + log_value(operation.access.workspace) + " database=" + log_value(session.database) +
           " service=" + log_value(operation.access.database);
}

std::string describe(const std::optional<log_position>& position) {
    return position ? std::to_string(position->term) + "." + std::to_string(position->index) : "none";
}

std::string describe_target(const open_operation& operation, instant now) {
    return " endpoint=" + log_value(operation.target.endpoint) + " host=" + log_value(operation.target.host) +
           " round=" + std::to_string(operation.target.round) + " after=" + describe(operation.after) +
           " tried=" + std::to_string(operation.tried.size()) + " ms=" + std::to_string((now - operation.arrived).count);
}

void clear_operation(session_host_state& state, caller_session& session) {
    if (session.operation) {
        state.runs.erase(session.operation->run);
    }
    state.waiting_sessions.erase(session.id);
    session.operation.reset();
}

/// Returns the kind under which the metrics count an operation.
request_kind metric_kind(const caller_session& session, const open_operation& operation) {
    if (operation.kind == run_kind::commit) {
        return request_kind::commit;
    }
    if (session.transaction) {
        return request_kind::statement;
    }
    return operation.kind == run_kind::write ? request_kind::write : request_kind::read;
}

request_outcome metric_outcome(result_code code) {
    switch (code) {
        case result_code::none:
        case result_code::failed:
            return request_outcome::done;
        case result_code::in_doubt:
        case result_code::timeout:
            return request_outcome::unknown;
        default:
            return request_outcome::not_run;
    }
}

void count_operation(session_host_state& state, const caller_session& session, const open_operation& operation, result_code code,
                     instant now) {
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    auto& counts = state.counts[operation.access.workspace];
    if (code == result_code::none) {
        ++counts.done;
    } else {
        ++counts.failed[code];
    }
    const auto latency_us = (now - operation.arrived).count * microseconds_per_millisecond;
    state.actions.emplace_back(request_sample{operation.access.workspace, metric_kind(session, operation), metric_outcome(code),
                                              refusal::none, latency_us});
}

/// Ends the session's operation with an error.
void fail_operation(session_host_state& state, caller_session& session, result_code code, const std::string& text, instant now) {
    const auto operation = *session.operation;
    clear_operation(state, session);
    count_operation(state, session, operation, code, now);

    log_decision(state, "request_failed",
                 describe(session, operation) + describe_target(operation, now) + " code=" + to_string(code) +
                     " reason=" + log_quoted(text),
                 true);
    fail_statement(state, session, code, text, now);
    advance_session(state, session, now);
}

void wait_for_leader(session_host_state& state, caller_session& session, instant not_before, instant now) {
    auto& operation = *session.operation;
    if (now - operation.arrived >= state.settings.entry.leader_wait) {
        fail_operation(state, session, result_code::busy, "the database has no usable primary", now);
        return;
    }
    operation.stage = operation_stage::waiting_for_leader;
    operation.not_before = not_before;
    operation.tried.clear();
    state.waiting_sessions.insert(session.id);
}

/// Notes a run that is sent to an endpoint, for later choices and the metrics.
void note_sent(session_host_state& state, const run_target& target, run_kind kind, instant now) {
    const auto found = state.catalog.endpoints.find(target.endpoint);
    if (found == state.catalog.endpoints.end()) {
        return;
    }
    record_sent(state.load_evidence_by_endpoint[target.endpoint], now);
    if (kind == run_kind::read) {
        ++state.reads_sent[{target.endpoint, distance_to(state, found->second.location)}];
    }
}

void send_run(session_host_state& state, caller_session& session, const run_target& target,
              const std::optional<log_position>& after, instant now) {
    auto& operation = *session.operation;
    operation.stage = operation_stage::running;
    operation.target = target;
    operation.after = after;
    ++operation.attempts;
    operation.sent = now;
    operation.run = state.next_call++;
    state.waiting_sessions.erase(session.id);
    state.runs[operation.run] = session.id;
    note_sent(state, target, operation.kind, now);
    run_request request;
    request.id = operation.run;
    request.endpoint = target.endpoint;
    request.database = operation.access.database;
    request.workspace = operation.access.workspace;
    request.kind = operation.kind;
    request.statement_id = operation.requested.id;
    request.text = operation.requested.text;
    if (operation.requested.kind == statement_kind::execute) {
        request.prepared = session.prepared.at(operation.requested.name);
        request.text = operation.requested.argument;
    }
    request.after = after;
    request.values = session.values;
    request.round = target.round;
    request.statement_timeout = operation.access.policy.statement_timeout;
    request.queue_timeout = queue_timeout_of(operation.access.policy);
    request.priority = operation.access.policy.priority;
    if (session.transaction) {
        request.transaction = session.transaction->number;
        if (!session.transaction->target) {
            operation.begins_transaction = true;
            request.start = session.transaction->read_only ? transaction_start::read_only : transaction_start::plain;
            session.transaction->target = target;
        }
    }
    request.start_target = start_target_of(operation.access.policy, operation.begins_transaction, now - operation.arrived);
    start_run(state, target.host, std::move(request), now);
}

/// Sends the operation to an endpoint, or makes it wait for a leader.
void dispatch(session_host_state& state, caller_session& session, instant now) {
    auto& operation = *session.operation;
    if (!may_choose_endpoint(session)) {
        send_run(state, session, *session.transaction->target, std::nullopt, now);
        return;
    }
    if (needs_leader(session, operation)) {
        if (const auto target = leader_target(state, operation.access)) {
            send_run(state, session, *target, std::nullopt, now);
        } else {
            wait_for_leader(state, session, now, now);
        }
        return;
    }
    if (const auto plan = choose_read(state, session, operation, now)) {
        send_run(state, session, plan->target, plan->after, now);
    } else {
        wait_for_leader(state, session, now + state.settings.entry.leader_retry_interval, now);
    }
}

/// Opens the session's transaction and answers the caller at once. The endpoint receives BEGIN with the transaction's first
/// statement.
void open_transaction(session_host_state& state, caller_session& session, instant now) {
    const auto operation = *session.operation;
    clear_operation(state, session);
    session_transaction transaction;
    transaction.number = state.next_call++;
    transaction.read_only = operation.requested.kind == statement_kind::begin_read_only;
    transaction.access = operation.access;
    transaction.began = now;
    session.transaction = std::move(transaction);
    session.state = session_state::in_transaction;
    answer_done(state, session);
    advance_session(state, session, now);
}

/// Starts an operation that has its tokens.
void admit(session_host_state& state, caller_session& session, instant now) {
    const auto kind = session.operation->requested.kind;
    if (kind == statement_kind::begin || kind == statement_kind::begin_read_only) {
        open_transaction(state, session, now);
    } else {
        dispatch(state, session, now);
    }
}

bool take_tokens(session_host_state& state, const open_operation& operation, instant now) {
    return operation.access.workspace.empty() || try_spend(state.shares, operation.access.workspace, now);
}

/// Returns the time for which an operation may wait for tokens: a quarter of the target latency, so that a refusal is not late,
/// or only the time in which other hosts answer a token request if the workspace was refused recently.
millis token_wait_limit(const session_host_state& state, const open_operation& operation, instant now) {
    constexpr std::int64_t target_latency_divisor = 4;
    const auto shortest = state.settings.entry.token_wait;
    const bool is_over_rate = was_refused_recently(state.shares, operation.access.workspace, now);
    return is_over_rate ? shortest : std::max(shortest, operation.access.policy.target_latency / target_latency_divisor);
}

/// Refuses an operation that waits for tokens if it cannot get them before its deadline. Returns true if it was refused.
bool refuse_without_token(session_host_state& state, caller_session& session, instant now) {
    const auto& operation = *session.operation;
    const auto next = next_token_at(state.shares, operation.access.workspace, now);
    if (now < operation.token_deadline && next < operation.token_deadline) {
        return false;
    }
    record_refusal(state.shares, operation.access.workspace, now);
    const auto& workspace = operation.access.workspace;
    // Another operation may use the next token first, so the advised delay has a lower limit.
    const auto delay = advise_return(state.shares, workspace, state.settings.entry.token_wait, now);
    const std::string cause = is_cut_off_from_holders(state.shares, workspace, now)
                                  ? "no host that counts the workspace's rate can be reached; try again in "
                                  : "the workspace's rate and burst are used up; try again in ";
    fail_operation(state, session, result_code::busy, cause + std::to_string(delay.count) + " ms", now);
    return true;
}

/// Requests from other hosts the tokens that waiting operations lack.
void request_tokens(session_host_state& state, instant now) {
    std::map<workspace_id, std::size_t> waiting;
    for (const auto id : state.waiting_sessions) {
        const auto session = state.sessions.find(id);
        const bool waits = session != state.sessions.end() && session->second.operation &&
                           session->second.operation->stage == operation_stage::waiting_for_tokens;
        if (waits) {
            ++waiting[session->second.operation->access.workspace];
        }
    }
    for (const auto& [workspace, share] : state.shares.rate_limits) {
        const auto found = waiting.find(workspace);
        set_waiting_requests(state.shares, workspace, found == waiting.end() ? 0 : found->second);
    }
    for (auto& due : due_token_requests(state.shares, now)) {
        send_peer(state, due.holder, std::move(due.request));
    }
}

void begin_operation(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    open_operation operation;
    operation.requested = requested;
    operation.arrived = now;
    auto access = resolve_access(state, session, now);
    if (const auto* refused = std::get_if<access_refusal>(&access)) {
        log_access_refused(state, "access_refused",
                           "request=" + log_value(requested.id) + " database=" + log_value(session.database), *refused, now);
        session.operation = operation;
        fail_operation(state, session, refused->code, refused->text, now);
        return;
    }
    operation.access = std::get<session_access>(std::move(access));
    operation.kind = kind_of(session, requested);
    session.operation = std::move(operation);
    if (!may_serve(state, now)) {
        fail_operation(state, session, result_code::busy, no_recent_document, now);
        return;
    }
    if (!can_answer_before_end(state, run_time_limit(state.settings.entry, session.operation->access.policy), now)) {
        fail_operation(state, session, result_code::busy, "this host is shutting down", now);
        return;
    }
    if (take_tokens(state, *session.operation, now)) {
        admit(state, session, now);
        return;
    }
    session.operation->token_deadline = now + token_wait_limit(state, *session.operation, now);
    session.operation->stage = operation_stage::waiting_for_tokens;
    if (refuse_without_token(state, session, now)) {
        return;
    }
    state.waiting_sessions.insert(session.id);
    request_tokens(state, now);
}

void record_success(caller_session& session, const open_operation& operation, const run_result& result, instant now) {
    const bool wrote = operation.kind == run_kind::commit || (operation.kind == run_kind::write && !session.transaction);
    if (wrote && operation.target.round != 0) {
        session.last_writes[operation.access.database] = {operation.target.round, result.position, now};
    }
}

void finish_operation(session_host_state& state, caller_session& session, const run_result& result, instant now) {
    const auto operation = *session.operation;
    clear_operation(state, session);
    session.last_used = now;
    count_operation(state, session, operation, result.code, now);
    if (result.code == result_code::none) {
        record_success(session, operation, result, now);
        // Slow requests have their own event kind and so their own rate limit in the log; fast ones cannot displace them.
        const bool is_slow = now - operation.arrived > operation.access.policy.target_latency;
        log_decision(state, is_slow ? "request_slow" : "request_done",
                     describe(session, operation) + describe_target(operation, now) + " position=" + describe(result.position));
    } else {
        log_decision(state, "request_failed",
                     describe(session, operation) + describe_target(operation, now) + " code=" + to_string(result.code) +
                         " reason=" + log_quoted(result.text),
                     true);
    }
    if (session.transaction) {
        session.state = result.state;
        if (result.state == session_state::idle) {
            session.transaction.reset();
        }
    }
    answer_result(state, session, result);
    advance_session(state, session, now);
}

/// Returns true if the operation may be run again: the run had no effect or was a read, and neither time nor attempts are used
/// up.
bool may_retry(const session_host_state& state, const caller_session& session, const open_operation& operation,
               const run_result& result, instant now) {
    const auto& policy = operation.access.policy;
    const bool begun = session.transaction && (!operation.begins_transaction || result.transaction_open);
    const bool harmless = result.outcome == run_outcome::not_run ||
                          (result.outcome == run_outcome::lost && operation.kind == run_kind::read && !session.transaction);
    const auto spent = now - operation.arrived;
    const bool waits_for_leader = operation.target.round != 0 && result.code == result_code::read_only;
    return !state.stopped && !begun && harmless && (operation.attempts < max_attempts || waits_for_leader) &&
           spent < std::max(queue_timeout_of(policy), state.settings.entry.leader_wait);
}

/// Runs an operation again whose run had no effect or was a read: at another endpoint, or after a wait for a leader. Fails the
/// operation if no endpoint can run it in time.
void retry_at_other_endpoint(session_host_state& state, caller_session& session, const run_result& result, instant now) {
    auto& operation = *session.operation;
    const bool at_leader = operation.target.round != 0;
    if (session.transaction) {
        session.transaction->target.reset();
    }
    state.runs.erase(operation.run);
    operation.tried.insert(operation.target.endpoint);
    const bool only_leader = operation.access.policy.reads == consistency::primary || needs_leader(session, operation);
    if (at_leader && (result.code == result_code::read_only || only_leader)) {
        const bool is_full = result.code == result_code::busy && result.wait > millis{0};
        if (is_full) {
            fail_operation(state, session, result_code::busy, result.text, now);
        } else {
            wait_for_leader(state, session, now + state.settings.entry.leader_retry_interval, now);
        }
        return;
    }
    const auto plan = choose_read(state, session, operation, now);
    if (!plan || now - operation.arrived >= queue_timeout_of(operation.access.policy)) {
        fail_operation(state, session, result.outcome == run_outcome::lost ? result.code : result_code::busy, result.text, now);
        return;
    }
    send_run(state, session, plan->target, plan->after, now);
}

/// Handles a run of an open transaction for which the endpoint gave no result.
void fail_in_transaction(session_host_state& state, caller_session& session, const run_result& result, instant now) {
    if (session.operation->kind != run_kind::commit) {
        fail_operation(state, session, result_code::aborted, result.text, now);
        return;
    }
    // A commit ends the transaction whatever its outcome. A read-only transaction has no effect that could be in doubt.
    const bool in_doubt = result.outcome == run_outcome::lost && !session.transaction->read_only;
    leave_transaction(state, session, now);
    fail_operation(state, session, in_doubt ? result_code::in_doubt : result_code::aborted, result.text, now);
}

/// Returns the session that waits for a run, or null.
caller_session* session_of_run(session_host_state& state, run_id run) {
    const auto found = state.runs.find(run);
    if (found == state.runs.end()) {
        return nullptr;
    }
    const auto session = state.sessions.find(found->second);
    const bool waits = session != state.sessions.end() && session->second.operation && session->second.operation->run == run;
    return waits ? &session->second : nullptr;
}

/// Drops what is known of the queue at the endpoint of a run that did not reach it. Its next owner may be free.
void forget_load(session_host_state& state, run_id run) {
    if (const auto* session = session_of_run(state, run); session != nullptr) {
        state.load_evidence_by_endpoint.erase(session->operation->target.endpoint);
    }
}

/// Goes on with the operation whose run has ended.
void settle_run(session_host_state& state, const run_result& result, instant now) {
    if (receive_position(state, result)) {
        return;
    }
    auto* session = session_of_run(state, result.id);
    if (session == nullptr) {
        state.runs.erase(result.id);
        return;
    }
    auto& operation = *session->operation;
    record_position(state, operation.access.database, result, operation.sent);
    if (result.outcome == run_outcome::done || result.outcome == run_outcome::failed) {
        finish_operation(state, *session, result, now);
    } else if (may_retry(state, *session, operation, result, now)) {
        retry_at_other_endpoint(state, *session, result, now);
    } else if (session->transaction) {
        fail_in_transaction(state, *session, result, now);
    } else {
        fail_operation(state, *session, result.code, result.text, now);
    }
}

void fail_run(session_host_state& state, run_id run, run_outcome outcome, const char* reason, instant now) {
    run_result result;
    result.id = run;
    result.outcome = outcome;
    result.text = reason;
    result.code = result_code::busy;
    if (outcome == run_outcome::lost) {
        if (const auto* session = session_of_run(state, run); session != nullptr) {
            result.code = session->operation->kind == run_kind::read ? result_code::timeout : result_code::in_doubt;
        }
    }
    settle_run(state, result, now);
}

void end_idle_transactions(session_host_state& state, instant now) {
    const auto limit = state.catalog.content->transaction_idle_limit;
    if (limit <= millis{0}) {
        return;
    }
    for (auto& [id, session] : state.sessions) {
        if (session.transaction && session.transaction->target && !session.operation && now - session.last_used >= limit) {
            log_decision(state, "transaction_idle",
                         "database=" + log_value(session.database) +
                             " endpoint=" + log_value(session.transaction->target->endpoint) +
                             " idle_ms=" + std::to_string((now - session.last_used).count));
            leave_transaction(state, session, now);
            session.state = session_state::failed;
        }
    }
}

/// Returns the reason for which the session's transaction must not go on; null if it may.
const char* reason_to_abort(const session_host_state& state, const caller_session& session, instant now) {
    const auto& policy = session.transaction->access.policy;
    if (policy.needs_key) {
        const auto holder = state.catalog.workspace_by_key.find(session.key_sha256);
        if (holder == state.catalog.workspace_by_key.end()) {
            return "the key was withdrawn";
        }
        if (holder->second != session.transaction->access.workspace) {
            return "the key was passed on to another workspace";
        }
    }
    if (!may_serve(state, now)) {
        return no_recent_document;
    }
    if (!can_answer_before_end(state, run_time_limit(state.settings.entry, policy), now)) {
        return "this host is shutting down";
    }
    return nullptr;
}

/// Rolls the session's transaction back instead of running its next statement.
void abort_transaction(session_host_state& state, caller_session& session, const statement& requested, const char* reason,
                       instant now) {
    log_decision(state, "transaction_refused",
                 "request=" + log_value(requested.id) + " workspace=" + log_value(session.transaction->access.workspace) +
                     " document=" + std::to_string(state.catalog.content->version) + describe_document_age(state, now) +
                     " reason=" + log_quoted(reason),
                 true);
    if (requested.kind == statement_kind::commit) {
        // A commit ends the transaction whatever its outcome.
        leave_transaction(state, session, now);
    }
    fail_statement(state, session, result_code::aborted, reason, now);
}

}  // namespace

void start_operation(session_host_state& state, caller_session& session, const statement& requested, instant now) {
    if (!session.transaction) {
        begin_operation(state, session, requested, now);
        return;
    }
    if (const char* reason = reason_to_abort(state, session, now); reason != nullptr) {
        abort_transaction(state, session, requested, reason, now);
        return;
    }
    open_operation operation;
    operation.requested = requested;
    operation.access = session.transaction->access;
    operation.kind = kind_of(session, requested);
    operation.arrived = now;
    session.operation = std::move(operation);
    dispatch(state, session, now);
}

void receive_run_result(session_host_state& state, const run_result& result, instant now) {
    const auto* session = session_of_run(state, result.id);
    if (session != nullptr && state.catalog.endpoints.contains(session->operation->target.endpoint)) {
        record_report(state.load_evidence_by_endpoint[session->operation->target.endpoint], result.wait, now);
    }
    settle_run(state, result, now);
}

void fail_runs_at(session_host_state& state, const host_id& host, instant now) {
    std::vector<run_id> lost;
    for (const auto& [run, id] : state.runs) {
        const auto session = state.sessions.find(id);
        if (session != state.sessions.end() && session->second.operation && session->second.operation->run == run &&
            session->second.operation->target.host == host) {
            lost.push_back(run);
        }
    }
    for (const auto run : lost) {
        forget_load(state, run);
        fail_run(state, run, run_outcome::lost, "the link to the endpoint's owner broke", now);
    }
}

void fail_unsent_run(session_host_state& state, run_id run, not_sent_cause cause, instant now) {
    const char* reason = cause == not_sent_cause::too_large
                             ? "the statement and its session's values are too large to be passed on"
                             : "the endpoint's owner cannot be reached";
    forget_load(state, run);
    fail_run(state, run, run_outcome::not_run, reason, now);
}

void fail_session_statements(session_host_state& state, caller_session& session, const char* reason, instant now) {
    if (session.operation && session.operation->stage == operation_stage::running) {
        fail_run(state, session.operation->run, run_outcome::lost, reason, now);
    } else if (session.operation) {
        fail_operation(state, session, result_code::busy, reason, now);
    }
    advance_session(state, session, now);
}

void retry_waiting(session_host_state& state, instant now) {
    const auto waiting = state.waiting_sessions;
    for (const auto id : waiting) {
        const auto found = state.sessions.find(id);
        if (found == state.sessions.end() || !found->second.operation) {
            state.waiting_sessions.erase(id);
            continue;
        }
        auto& session = found->second;
        auto& operation = *session.operation;
        if (operation.stage == operation_stage::waiting_for_tokens) {
            if (take_tokens(state, operation, now)) {
                state.waiting_sessions.erase(id);
                admit(state, session, now);
            } else {
                refuse_without_token(state, session, now);
            }
        } else if (operation.stage == operation_stage::waiting_for_leader && now >= operation.not_before) {
            dispatch(state, session, now);
        }
    }
    if (!state.waiting_sessions.empty()) {
        request_tokens(state, now);
    }
}

void session_entry_tick(session_host_state& state, instant now) {
    std::vector<run_id> late;
    for (const auto& [run, id] : state.runs) {
        const auto session = state.sessions.find(id);
        if (session == state.sessions.end() || !session->second.operation || session->second.operation->run != run) {
            late.push_back(run);
            continue;
        }
        const auto& operation = *session->second.operation;
        const auto limit = run_time_limit(state.settings.entry, operation.access.policy);
        if (operation.stage == operation_stage::running && now - operation.sent >= limit) {
            late.push_back(run);
        }
    }
    for (const auto run : late) {
        fail_run(state, run, run_outcome::lost, "the endpoint's owner did not answer in time", now);
    }
    expire_position_requests(state, now);
    retry_waiting(state, now);
    request_positions(state, now);
    end_idle_transactions(state, now);
}

}  // namespace camphorstack
