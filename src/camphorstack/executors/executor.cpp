#include "camphorstack/executors/executor.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "camphorstack/executors/connection_setup.hpp"
#include "camphorstack/executors/dispatch_runs.hpp"

namespace camphorstack {

namespace {

/// Part of the queue timeout that the expected wait of a run may take when it arrives. The rest is for the error of the estimate:
/// a run that is refused after its wait has cost its caller that time.
constexpr std::int64_t acceptable_wait_percent = 80;
constexpr std::int64_t percent = 100;

endpoint_executor* find_endpoint(executor_state& state, const endpoint_id& id) {
    const auto found = state.endpoints.find(id);
    return found == state.endpoints.end() ? nullptr : &found->second;
}

void set_idle(executor_connection& connection, instant now) {
    connection.stage = connection_stage::idle;
    connection.since = now;
    connection.run.reset();
}

void release_transaction(executor_state& state, executor_connection& connection) {
    if (connection.transaction) {
        state.transactions.erase(*connection.transaction);
        connection.transaction.reset();
    }
    connection.round = 0;
    connection.rollback_requested = false;
}

void roll_back(executor_state& state, executor_connection& connection, instant now) {
    release_transaction(state, connection);
    connection.run.reset();
    connection.stage = connection_stage::rolling_back;
    connection.since = now;
    connection.setup_replies = 0;
    state.actions.emplace_back(send_endpoint_statements{connection.id, {{endpoint_command::rollback, "", "", "", false, {}}}});
}

/// Returns the result of a run whose connection ended before the run was answered.
run_result result_without_answer(const executor_connection& connection, result_code code, const char* reason) {
    run_result result;
    result.text = reason;
    const auto& request = connection.run->request;
    if (connection.stage != connection_stage::running) {
        result.outcome = run_outcome::not_run;
        result.code = result_code::busy;
        return result;
    }
    result.outcome = run_outcome::lost;
    const bool may_take_effect =
        request.kind == run_kind::commit || (request.kind == run_kind::write && request.transaction == 0);
    if (may_take_effect) {
        result.code = result_code::in_doubt;
    } else if (request.transaction != 0) {
        // The endpoint rolls back a transaction whose connection ends, and no commit was sent.
        result.code = result_code::aborted;
    } else {
        result.code = code;
    }
    return result;
}

void end_connection(executor_state& state, connection_id id, result_code code, const char* reason) {
    auto& connection = state.connections.at(id);
    auto run = std::exchange(connection.run, std::nullopt);
    std::optional<run_result> result;
    if (run) {
        connection.run = run;
        result = result_without_answer(connection, code, reason);
    }
    const auto endpoint = connection.endpoint;
    drop_connection(state, id);
    if (auto* found = find_endpoint(state, endpoint); found != nullptr && run) {
        finish_run(state, *found, *run, std::move(*result));
    }
}

/// Returns true if the endpoint owes an answer on one of its connections.
bool awaits_answer(const executor_state& state, const endpoint_executor& endpoint) {
    return std::ranges::any_of(endpoint.connections,
                               [&](connection_id id) { return state.connections.at(id).stage != connection_stage::idle; });
}

void record_answer(const executor_state& state, endpoint_executor& endpoint, instant now) {
    endpoint.last_answer = now;
    endpoint.refusals = 0;
    endpoint.last_timeout.reset();
    endpoint.unanswered_since = awaits_answer(state, endpoint) ? std::optional(now) : std::nullopt;
}

bool is_silent(const executor_state& state, const endpoint_executor& endpoint, instant now) {
    return endpoint.unanswered_since && now - *endpoint.unanswered_since >= state.settings.silence_limit;
}

/// Ends a connection whose stage has taken too long.
void give_up_connection(executor_state& state, endpoint_executor& endpoint, connection_id id, instant now) {
    if (is_silent(state, endpoint, now)) {
        endpoint.last_timeout = now;
    }
    end_connection(state, id, result_code::timeout, "the endpoint did not answer in time");
    if (!awaits_answer(state, endpoint)) {
        endpoint.unanswered_since.reset();
    }
}

void record_refusal(const executor_state& state, endpoint_executor& endpoint, instant now) {
    const bool is_first = now - endpoint.last_refusal >= state.settings.suspicion_lifetime;
    endpoint.refusals = is_first ? 1 : endpoint.refusals + 1;
    endpoint.last_refusal = now;
}

void update_service_times(const executor_state& state, endpoint_executor& endpoint, run_kind kind, millis in_flight_time) {
    const auto slots = std::max(1, endpoint.entry.slots);
    const auto in_flight = std::max<std::size_t>(runs_in_flight(state, endpoint), 1);
    // Statements beyond the slots wait at the endpoint, so only a part of the time is service time.
    const double share = std::min(1.0, static_cast<double>(slots) / static_cast<double>(in_flight));
    record_service(endpoint.service, kind, static_cast<double>(in_flight_time.count) * share);
}

/// Returns true if a success comes too late to count. An endpoint that was replaced as the leader may still answer, so a write or
/// a commit counts only until `late_answer_tolerance` after the end of its round's lease.
bool is_too_late(const executor_state& state, const endpoint_executor& endpoint, const run_request& request, instant now) {
    const bool takes_effect = request.kind == run_kind::commit || (request.kind == run_kind::write && request.transaction == 0);
    if (!takes_effect || request.round == 0) {
        return false;
    }
    const auto& lease = endpoint.lease;
    return !lease || lease->round != request.round || now >= lease->until + state.settings.late_answer_tolerance;
}

/// Returns true for errors with which an endpoint answers a statement that had no effect.
bool means_not_run(result_code code) {
    return code == result_code::busy || code == result_code::lagging || code == result_code::read_only ||
           code == result_code::no_statement || code == result_code::misrouted || code == result_code::too_many;
}

run_result result_of(const endpoint_executor& endpoint, const run_request& request, const endpoint_reply& reply) {
    run_result result;
    result.outcome = reply.code == result_code::none ? run_outcome::done
                     : means_not_run(reply.code)     ? run_outcome::not_run
                                                     : run_outcome::failed;
    result.code = reply.code;
    result.text = reply.text;
    result.rows = reply.rows;
    result.proof = reply.proof;
    result.state = reply.state;
    result.position = reply.position;
    result.status = reply.status;
    // Inside a transaction an endpoint may answer with the position at which the transaction began.
    const bool is_current_position = request.transaction == 0 || request.kind == run_kind::commit;
    const bool from_leader = request.round != 0 && endpoint.lease && endpoint.lease->round == request.round;
    result.round = is_current_position && from_leader && reply.state == session_state::idle ? request.round : 0;
    return result;
}

/// Returns true if a repetition of the reply could pass for the answer to a later statement on the connection: errors hold
/// nothing of their statement. A change of leader relies on statuses, and so takes them from connections that have delivered
/// none.
bool must_give_up_after(const endpoint_reply& reply, const run_request& request) {
    return reply.code != result_code::none || is_for_leader_change(request);
}

/// Returns true if the endpoint's session is not in the state that a success of the statement leads to.
bool leaves_other_state(const run_request& request, const endpoint_reply& reply) {
    const bool stays_open = request.transaction != 0 && request.kind != run_kind::commit;
    return !is_administrative(request.kind) && reply.state != (stays_open ? session_state::in_transaction : session_state::idle);
}

void record_primary_answer(endpoint_executor& endpoint, const primary_answer& answer) {
    const auto& newest = endpoint.newest_answer;
    if (!newest || std::pair(newest->round, newest->asked.since_start) < std::pair(answer.round, answer.asked.since_start)) {
        endpoint.newest_answer = answer;
    }
}

void finish_statement(executor_state& state, endpoint_executor& endpoint, executor_connection& connection,
                      const endpoint_reply& reply, instant now) {
    const auto run = std::move(*std::exchange(connection.run, std::nullopt));
    const auto& request = run.request;
    if (!is_administrative(request.kind)) {
        update_service_times(state, endpoint, request.kind, now - connection.since);
    }
    auto result = result_of(endpoint, request, reply);
    if (result.round != 0 && result.position) {
        record_primary_answer(endpoint, {result.round, *result.position, connection.since});
    }
    if (is_too_late(state, endpoint, request, now) && result.outcome == run_outcome::done) {
        result = run_result{};
        result.outcome = run_outcome::lost;
        result.code = result_code::in_doubt;
        result.text = "the endpoint answered after it was replaced as the primary";
    }
    if (result.outcome == run_outcome::done && leaves_other_state(request, reply)) {
        // What an endpoint ran outside of its transaction may be kept, so that no promise may be given.
        const bool is_inside = request.transaction != 0 && request.kind != run_kind::commit;
        result = run_result{};
        result.outcome = is_inside ? run_outcome::failed : run_outcome::lost;
        result.code = result_code::in_doubt;
        result.state = session_state::failed;
        result.text = "the endpoint's session is in another state than the statement leads to";
        drop_connection(state, connection.id);
        finish_run(state, endpoint, run, std::move(result));
        return;
    }
    const bool ended = request.transaction != 0 && reply.state == session_state::idle;
    const bool to_roll_back = reply.state == session_state::failed || (connection.rollback_requested && !ended) ||
                              (request.transaction == 0 && reply.state != session_state::idle);
    set_idle(connection, now);
    if (must_give_up_after(reply, request)) {
        if (request.transaction != 0 && !ended) {
            // The endpoint rolls the transaction back when its connection ends.
            result.state = session_state::failed;
        }
        drop_connection(state, connection.id);
    } else if (to_roll_back) {
        roll_back(state, connection, now);
    } else if (ended || request.transaction == 0) {
        release_transaction(state, connection);
    }
    finish_run(state, endpoint, run, std::move(result));
}

void finish_beginning(executor_state& state, endpoint_executor& endpoint, executor_connection& connection,
                      const endpoint_reply& reply, instant now) {
    if (reply.code == result_code::none && !connection.rollback_requested &&
        is_run_allowed(endpoint, connection.run->request, now)) {
        send_run(state, connection, now);
        return;
    }
    const auto run = std::move(*std::exchange(connection.run, std::nullopt));
    run_result result;
    result.outcome = run_outcome::not_run;
    result.code = reply.code == result_code::none ? result_code::busy : reply.code;
    result.text = reply.code == result_code::none ? "the transaction's right has ended" : reply.text;
    result.position = reply.position;
    if (reply.code == result_code::none) {
        roll_back(state, connection, now);
    } else {
        drop_connection(state, connection.id);
    }
    finish_run(state, endpoint, run, std::move(result));
}

/// Ends a connection with a refused setup statement, because its session values may differ from the recorded ones.
void fail_setup(executor_state& state, const executor_connection& connection) {
    end_connection(state, connection.id, result_code::busy, "the endpoint refused a session value or a prepared statement");
}

void refuse_queue(executor_state& state, endpoint_executor& endpoint, const std::function<bool(const submitted_run&)>& matches,
                  const char* reason) {
    for (const auto& run : withdraw_runs(endpoint.queue, matches)) {
        refuse_run(state, endpoint, run, result_code::busy, reason);
    }
}

/// Refuses queued runs that need a lease which this host no longer has.
void refuse_without_lease(executor_state& state, endpoint_executor& endpoint, instant now) {
    refuse_queue(
        state, endpoint, [&](const submitted_run& run) { return !is_run_allowed(endpoint, run.request, now); }, no_lease_reason);
}

/// Refuses queued runs and ends connections with transactions or runs that need a lease of another round than `kept`.
void end_leader_work(executor_state& state, endpoint_executor& endpoint, leader_round kept) {
    refuse_queue(
        state, endpoint, [kept](const submitted_run& run) { return run.request.round != 0 && run.request.round != kept; },
        "the endpoint is no longer the primary");
    const auto ids = endpoint.connections;
    for (const auto id : ids) {
        const auto& connection = state.connections.at(id);
        const bool open = connection.transaction && connection.round != 0 && connection.round != kept;
        const bool in_flight = connection.run && connection.run->request.round != 0 && connection.run->request.round != kept;
        if (open || in_flight) {
            end_connection(state, id, result_code::failed, "the endpoint is no longer the primary");
        }
    }
}

bool has_timed_out(const executor_state& state, const executor_connection& connection, instant now) {
    const auto elapsed = now - connection.since;
    switch (connection.stage) {
        case connection_stage::opening:
            return elapsed >= state.settings.connect_timeout;
        case connection_stage::beginning:
        case connection_stage::rolling_back:
            return elapsed >= state.settings.begin_timeout;
        case connection_stage::running:
            return elapsed >= connection.run->request.statement_timeout;
        case connection_stage::idle:
            return false;
    }
    return false;
}

void tick_endpoint(executor_state& state, endpoint_executor& endpoint, instant now) {
    const auto ids = endpoint.connections;
    for (const auto id : ids) {
        const auto& connection = state.connections.at(id);
        if (has_timed_out(state, connection, now)) {
            give_up_connection(state, endpoint, id, now);
        }
    }
    refuse_without_lease(state, endpoint, now);
    const auto waited =
        withdraw_runs(endpoint.queue, [now](const submitted_run& run) { return now - run.arrived >= run.request.queue_timeout; });
    for (const auto& run : waited) {
        ++endpoint.totals.refused_after_wait;
        refuse_run(state, endpoint, run, result_code::busy, "no slot or connection of the endpoint became free in time");
    }
    endpoint.totals.late += mark_late_runs(endpoint.queue, now);
    dispatch_runs(state, endpoint, now);
}

awaited_answer awaited_on(const executor_connection& connection) {
    if (connection.setup_replies > 0) {
        return awaited_answer::setup;
    }
    switch (connection.stage) {
        case connection_stage::opening:
        case connection_stage::idle:
            return awaited_answer::none;
        case connection_stage::beginning:
            return awaited_answer::begin;
        case connection_stage::rolling_back:
            return awaited_answer::rollback;
        case connection_stage::running:
            return is_administrative(connection.run->request.kind) ? awaited_answer::status : awaited_answer::statement;
    }
    return awaited_answer::none;
}

sent_statement statement_of(const run_request& request) {
    const auto shape = request.prepared ? prepared_name(*request.prepared) + " " : std::string();
    return {request.statement_id, shape + request.text, request.kind == run_kind::read};
}

/// Matches a reply with the answer that the connection waits for, and records a reply that is not that answer.
answer_match match_reply(executor_state& state, executor_connection& connection, const endpoint_reply& reply) {
    const auto awaited = awaited_on(connection);
    const auto statement = awaited == awaited_answer::statement ? statement_of(connection.run->request) : sent_statement();
    const bool in_transaction = connection.stage == connection_stage::running && connection.transaction;
    auto match = match_answer(reply, awaited, statement, in_transaction, connection.delivered);
    auto& newest = state.endpoints.at(connection.endpoint).newest_position;
    if (match == answer_match::awaited && awaited == awaited_answer::status && reply.status) {
        if (may_be_outdated(reply, connection.has_delivered_status, newest)) {
            match = answer_match::unexpected;
            // An endpoint that has lost a part of its log does not reach the position again.
            newest.reset();
        }
        connection.has_delivered_status = true;
    }
    const bool confirms_transaction =
        match == answer_match::awaited && reply.proof.empty() && reply.state == session_state::in_transaction;
    if (confirms_transaction && awaited == awaited_answer::begin && connection.last_begin &&
        !(reply.position > connection.last_begin)) {
        match = answer_match::unexpected;
    }
    auto rows = hash_rows(reply.rows);
    // A read that is not in a transaction runs again on a new connection, which settles whether the rows are its own.
    if (match == answer_match::awaited && statement.is_read && !in_transaction && may_continue(connection.last_rows, rows)) {
        match = answer_match::unexpected;
    }
    if (match != answer_match::awaited) {
        state.stray_answers.push_back({connection.endpoint, connection.id, match, awaited, statement.id, reply.code});
        return match;
    }
    if (!reply.proof.empty()) {
        connection.delivered.add(reply.proof, statement);
    }
    if (confirms_transaction) {
        connection.last_begin = std::max(connection.last_begin, reply.position);
    }
    if (!rows.empty()) {
        connection.last_rows = std::move(rows);
    }
    if (reply.state == session_state::idle && reply.position && (!newest || *newest < *reply.position)) {
        newest = reply.position;
    }
    return match;
}

/// Returns the time until a slot becomes free for a run behind the given work of queued runs.
millis wait_behind(const executor_state& state, const endpoint_executor& endpoint, double queued_ms) {
    const auto slots = static_cast<double>(std::max(1, endpoint.entry.slots));
    const double in_flight_ms = (static_cast<double>(runs_in_flight(state, endpoint)) - slots + 1) * endpoint.service.all;
    return millis{static_cast<std::int64_t>(std::lround(std::max(0.0, queued_ms + in_flight_ms) / slots))};
}

/// Handles the answer that the connection waits for.
void take_answer(executor_state& state, endpoint_executor& endpoint, executor_connection& connection, const endpoint_reply& reply,
                 instant now) {
    if (connection.setup_replies > 0) {
        --connection.setup_replies;
        if (reply.code != result_code::none) {
            fail_setup(state, connection);
        }
        return;
    }
    switch (connection.stage) {
        case connection_stage::beginning:
            finish_beginning(state, endpoint, connection, reply, now);
            break;
        case connection_stage::running:
            finish_statement(state, endpoint, connection, reply, now);
            break;
        case connection_stage::rolling_back:
            if (reply.code != result_code::none) {
                drop_connection(state, connection.id);
            } else {
                set_idle(connection, now);
            }
            break;
        case connection_stage::opening:
        case connection_stage::idle:
            break;
    }
}

/// Ends all work at an endpoint that has become another database's. What was learnt of it before no longer holds.
void forget_endpoint(executor_state& state, endpoint_executor& endpoint) {
    constexpr const char* reason = "the endpoint belongs to another database now";
    endpoint.connection_limit = 0;
    refuse_queue(
        state, endpoint, [](const submitted_run&) { return true; }, reason);
    const auto ids = endpoint.connections;
    for (const auto id : ids) {
        end_connection(state, id, result_code::busy, reason);
    }
    // The results must not carry positions of the endpoint's new database.
    for (auto& item : state.results) {
        if (item.endpoint == endpoint.entry.id) {
            item.endpoint.clear();
        }
    }
    endpoint = {};
}

}  // namespace

void set_endpoints(executor_state& state, const std::map<endpoint_id, endpoint_share>& shares, instant now) {
    for (auto& [id, endpoint] : state.endpoints) {
        if (!shares.contains(id)) {
            endpoint.connection_limit = 0;
        }
    }
    for (const auto& [id, share] : shares) {
        auto& endpoint = state.endpoints[id];
        if (endpoint.entry.database != share.entry.database) {
            forget_endpoint(state, endpoint);
        }
        endpoint.entry = share.entry;
        endpoint.connection_limit = share.connection_limit;
    }
    for (auto entry = state.endpoints.begin(); entry != state.endpoints.end();) {
        auto& endpoint = entry->second;
        const auto ids = endpoint.connections;
        for (const auto id : ids) {
            const auto& connection = state.connections.at(id);
            if (is_free(connection) && endpoint.connections.size() > endpoint.connection_limit) {
                drop_connection(state, id);
            }
        }
        if (endpoint.connection_limit == 0) {
            refuse_queue(
                state, endpoint, [](const submitted_run&) { return true; }, "the endpoint takes no new work");
        }
        const bool unused = !shares.contains(entry->first) && endpoint.connections.empty();
        entry = unused ? state.endpoints.erase(entry) : std::next(entry);
    }
    for (auto& [id, endpoint] : state.endpoints) {
        dispatch_runs(state, endpoint, now);
    }
}

void set_leader_lease(executor_state& state, const endpoint_id& endpoint, const std::optional<leader_lease>& lease, instant now) {
    auto* found = find_endpoint(state, endpoint);
    if (found == nullptr) {
        return;
    }
    const bool ended = found->lease && (!lease || lease->round != found->lease->round);
    found->lease = lease;
    if (ended) {
        end_leader_work(state, *found, lease ? lease->round : 0);
    }
    refuse_without_lease(state, *found, now);
    dispatch_runs(state, *found, now);
}

bool is_leader_work_done(const executor_state& state, const endpoint_id& endpoint) {
    const auto found = state.endpoints.find(endpoint);
    if (found == state.endpoints.end()) {
        return true;
    }
    return std::ranges::none_of(found->second.connections, [&](connection_id id) {
        const auto& connection = state.connections.at(id);
        return (connection.transaction && connection.round != 0) || (connection.run && connection.run->request.round != 0);
    });
}

void submit_run(executor_state& state, const host_id& origin, run_request request, instant now) {
    submitted_run run{origin, std::move(request), now};
    auto* endpoint = find_endpoint(state, run.request.endpoint);
    if (endpoint == nullptr || endpoint->connection_limit == 0) {
        const endpoint_executor none;
        refuse_run(state, endpoint == nullptr ? none : *endpoint, run, result_code::misrouted,
                   "this host does not use the endpoint");
        return;
    }
    if (!run.request.database.empty() && run.request.database != endpoint->entry.database) {
        // The result must not carry positions of the endpoint's database.
        refuse_run(state, endpoint_executor(), run, result_code::busy, "the endpoint belongs to another database");
        return;
    }
    if (!is_run_allowed(*endpoint, run.request, now)) {
        refuse_run(state, *endpoint, run, result_code::busy, no_lease_reason);
        return;
    }
    const bool may_refuse = !continues_transaction(run.request) && !is_administrative(run.request.kind);
    if (may_refuse && expected_wait(state, *endpoint, run, now) > run.request.queue_timeout * acceptable_wait_percent / percent) {
        ++endpoint->totals.refused_at_arrival;
        refuse_run(state, *endpoint, run, result_code::busy, "the endpoint's queue is too long");
        return;
    }
    add_run(endpoint->queue, std::move(run), endpoint->service, now);
    dispatch_runs(state, *endpoint, now);
}

void end_transaction(executor_state& state, const transaction_key& transaction, instant now) {
    for (auto& [id, endpoint] : state.endpoints) {
        withdraw_runs(endpoint.queue, [&](const submitted_run& run) {
            return run.origin == transaction.origin && run.request.transaction == transaction.number;
        });
    }
    const auto found = state.transactions.find(transaction);
    if (found == state.transactions.end()) {
        return;
    }
    auto& connection = state.connections.at(found->second);
    if (connection.stage == connection_stage::idle) {
        roll_back(state, connection, now);
    } else {
        connection.rollback_requested = true;
    }
}

void drop_origin(executor_state& state, const host_id& origin, instant now) {
    for (auto& [id, endpoint] : state.endpoints) {
        withdraw_runs(endpoint.queue, [&](const submitted_run& run) { return run.origin == origin; });
    }
    std::vector<transaction_key> open;
    for (const auto& [key, connection] : state.transactions) {
        if (key.origin == origin) {
            open.push_back(key);
        }
    }
    for (const auto& key : open) {
        end_transaction(state, key, now);
    }
}

void on_connection_opened(executor_state& state, const endpoint_connection_opened& event, instant now) {
    const auto found = state.connections.find(event.connection);
    if (found == state.connections.end()) {
        return;
    }
    auto& connection = found->second;
    if (connection.stage != connection_stage::opening) {
        state.stray_answers.push_back(
            {connection.endpoint, connection.id, answer_match::repeated, awaited_on(connection), "", result_code::none});
        return;
    }
    set_idle(connection, now);
    auto& endpoint = state.endpoints.at(connection.endpoint);
    record_answer(state, endpoint, now);
    dispatch_runs(state, endpoint, now);
}

void on_connection_ended(executor_state& state, const endpoint_connection_ended& event, instant now) {
    const auto found = state.connections.find(event.connection);
    if (found == state.connections.end()) {
        return;
    }
    const auto id = found->second.endpoint;
    const bool was_opening = found->second.stage == connection_stage::opening;
    end_connection(state, event.connection, result_code::failed, "the connection to the endpoint broke");
    auto* endpoint = find_endpoint(state, id);
    if (endpoint == nullptr) {
        return;
    }
    if (was_opening) {
        endpoint->not_before = now + state.settings.reconnect_interval;
        if (event.refused) {
            record_refusal(state, *endpoint, now);
        }
    }
    if (!awaits_answer(state, *endpoint)) {
        endpoint->unanswered_since.reset();
    }
    if (event.code == result_code::misrouted) {
        refuse_queue(
            state, *endpoint, [](const submitted_run&) { return true; }, "the endpoint's address belongs to another one");
    }
    dispatch_runs(state, *endpoint, now);
}

void on_endpoint_reply(executor_state& state, const endpoint_reply_received& event, instant now) {
    const auto found = state.connections.find(event.connection);
    if (found == state.connections.end()) {
        return;
    }
    auto& connection = found->second;
    auto& endpoint = state.endpoints.at(connection.endpoint);
    switch (match_reply(state, connection, event.reply)) {
        case answer_match::repeated:
            return;
        case answer_match::unexpected:
            end_connection(state, connection.id, result_code::failed, "the endpoint sent an answer that no statement awaits");
            break;
        case answer_match::awaited:
            take_answer(state, endpoint, connection, event.reply, now);
            break;
    }
    record_answer(state, endpoint, now);
    dispatch_runs(state, endpoint, now);
}

void executor_tick(executor_state& state, instant now) {
    for (auto& [id, endpoint] : state.endpoints) {
        tick_endpoint(state, endpoint, now);
    }
}

millis expected_wait(const executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, instant now) {
    return wait_behind(state, endpoint, work_ahead_ms(endpoint.queue, run, endpoint.service, endpoint.entry.slots, now));
}

millis estimated_wait(const executor_state& state, const endpoint_executor& endpoint) {
    return wait_behind(state, endpoint, queued_work_ms(endpoint.queue, endpoint.service));
}

bool is_suspected(const executor_state& state, const endpoint_executor& endpoint, instant now) {
    const auto is_recent = [&](instant failure) { return now - failure < state.settings.suspicion_lifetime; };
    const bool was_silent = endpoint.last_timeout && is_recent(*endpoint.last_timeout);
    const bool refuses = endpoint.refusals >= state.settings.refusals_to_suspect && is_recent(endpoint.last_refusal);
    return is_silent(state, endpoint, now) || was_silent || refuses;
}

std::size_t count_open_work(const executor_state& state) {
    std::size_t count = state.transactions.size();
    for (const auto& [id, endpoint] : state.endpoints) {
        count += count_runs(endpoint.queue) + runs_in_flight(state, endpoint);
    }
    return count;
}

}  // namespace camphorstack
