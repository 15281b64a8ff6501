#include "camphorstack/executors/dispatch_runs.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/executors/connection_setup.hpp"

namespace camphorstack {

namespace {

std::size_t in_flight_limit(const executor_state& state, const endpoint_executor& endpoint) {
    return static_cast<std::size_t>(std::max(1, endpoint.entry.slots) + state.settings.extra_in_flight);
}

/// Returns the number of connections that are being opened, by workspace.
std::map<workspace_id, std::size_t> count_opening(const executor_state& state, const endpoint_executor& endpoint) {
    std::map<workspace_id, std::size_t> opening;
    for (const auto id : endpoint.connections) {
        if (const auto& connection = state.connections.at(id); connection.stage == connection_stage::opening) {
            ++opening[connection.workspace];
        }
    }
    return opening;
}

/// Returns true if the answer to a further BEGIN can be told from repeated answers to earlier ones, since the log has grown.
bool can_begin(const endpoint_executor& endpoint, const executor_connection& connection) {
    return !connection.last_begin || endpoint.newest_position > connection.last_begin;
}

/// Returns how well an idle connection suits a run; nothing if the run cannot use it.
std::optional<int> suitability(const endpoint_executor& endpoint, const executor_connection& connection,
                               const run_request& request) {
    if (is_for_leader_change(request)) {
        return connection.has_delivered_status ? std::nullopt : std::optional(0);
    }
    if (is_administrative(request.kind)) {
        return connection.has_delivered_status ? 1 : 0;
    }
    const bool begins = request.start != transaction_start::none;
    if (connection.workspace != request.workspace || (begins && !can_begin(endpoint, connection))) {
        return std::nullopt;
    }
    const bool prepared = !request.prepared || connection.prepared.contains(prepared_name(*request.prepared));
    return (has_session_values(connection, request.values) ? 2 : 0) + (prepared ? 1 : 0);
}

/// Returns the idle connection that suits the run best: of a caller's statement the one that needs the fewest setup statements.
/// Null if none is idle.
executor_connection* find_idle(executor_state& state, const endpoint_executor& endpoint, const run_request& request) {
    executor_connection* best = nullptr;
    int best_score = -1;
    for (const auto id : endpoint.connections) {
        auto& connection = state.connections.at(id);
        if (!is_free(connection)) {
            continue;
        }
        if (const auto score = suitability(endpoint, connection, request); score && *score > best_score) {
            best = &connection;
            best_score = *score;
        }
    }
    return best;
}

/// Returns the connection that has been idle longest of those that the run cannot use.
std::optional<connection_id> find_replaceable(const executor_state& state, const endpoint_executor& endpoint,
                                              const run_request& waiting) {
    std::optional<connection_id> found;
    for (const auto id : endpoint.connections) {
        const auto& connection = state.connections.at(id);
        if (is_free(connection) && !suitability(endpoint, connection, waiting) &&
            (!found || connection.since < state.connections.at(*found).since)) {
            found = id;
        }
    }
    return found;
}

void open_connection_for(executor_state& state, endpoint_executor& endpoint, const run_request& waiting, instant now) {
    if (now < endpoint.not_before) {
        return;
    }
    if (endpoint.connections.size() >= endpoint.connection_limit) {
        const auto replaced = find_replaceable(state, endpoint, waiting);
        if (!replaced) {
            return;
        }
        drop_connection(state, *replaced);
    }
    const auto id = state.next_connection++;
    executor_connection connection;
    connection.id = id;
    connection.endpoint = endpoint.entry.id;
    connection.workspace = waiting.workspace;
    connection.since = now;
    state.connections.emplace(id, std::move(connection));
    endpoint.connections.insert(id);
    if (!endpoint.unanswered_since) {
        endpoint.unanswered_since = now;
    }
    state.actions.emplace_back(
        open_endpoint_connection{id, endpoint.entry.id, endpoint.entry.database, endpoint.entry.address, waiting.workspace});
}

void start_run_on(executor_state& state, endpoint_executor& endpoint, executor_connection& connection, submitted_run run,
                  instant now) {
    if (!endpoint.unanswered_since) {
        endpoint.unanswered_since = now;
    }
    const auto& request = run.request;
    connection.since = now;
    if (request.start == transaction_start::none) {
        connection.run = std::move(run);
        send_run(state, connection, now);
        return;
    }
    connection.transaction = transaction_key{run.origin, request.transaction};
    connection.round = request.round;
    connection.rollback_requested = false;
    state.transactions[*connection.transaction] = connection.id;
    auto statements = make_setup_statements(connection, request, state.settings.prepared_limit);
    connection.setup_replies = statements.size();
    connection.stage = connection_stage::beginning;
    const auto begin = request.start == transaction_start::plain ? endpoint_command::begin : endpoint_command::begin_read_only;
    statements.push_back({begin, "", "", "", false, request.after});
    connection.run = std::move(run);
    state.actions.emplace_back(send_endpoint_statements{connection.id, std::move(statements)});
}

/// Tries to start one queued run. Returns true if the run was sent or refused and so has left the queue.
bool try_start(executor_state& state, endpoint_executor& endpoint, submitted_run& run, instant now) {
    const auto& request = run.request;
    if (!is_run_allowed(endpoint, request, now)) {
        refuse_run(state, endpoint, run, result_code::busy, no_lease_reason);
        return true;
    }
    if (continues_transaction(request)) {
        const auto open = state.transactions.find({run.origin, request.transaction});
        if (open == state.transactions.end()) {
            refuse_run(state, endpoint, run, result_code::aborted, "the transaction is no longer open");
            return true;
        }
        auto& connection = state.connections.at(open->second);
        if (connection.stage != connection_stage::idle) {
            return false;
        }
        start_run_on(state, endpoint, connection, std::move(run), now);
        return true;
    }
    if (runs_in_flight(state, endpoint) >= in_flight_limit(state, endpoint)) {
        return false;
    }
    if (auto* connection = find_idle(state, endpoint, request); connection != nullptr) {
        start_run_on(state, endpoint, *connection, std::move(run), now);
        return true;
    }
    return false;
}

/// Returns the workspaces of the endpoint's connections that match.
template <typename Matches>
std::set<workspace_id> workspaces_of(const executor_state& state, const endpoint_executor& endpoint, Matches matches) {
    std::set<workspace_id> workspaces;
    for (const auto id : endpoint.connections) {
        if (const auto& connection = state.connections.at(id); matches(connection)) {
            workspaces.insert(connection.workspace);
        }
    }
    return workspaces;
}

/// Opens connections for workspaces whose queued runs have none, in the order of turns and up to the limit of statements in
/// flight. While that limit is reached, workspaces without any connection still get one, a few at a time: without it they would
/// lose their turns to those that have one.
void open_missing_connections(executor_state& state, endpoint_executor& endpoint, instant now) {
    const auto limit = in_flight_limit(state, endpoint);
    const auto opening = count_opening(state, endpoint);
    const auto connected = workspaces_of(state, endpoint, [](const executor_connection&) { return true; });
    std::size_t opened = 0;
    for (const auto& [workspace, count] : opening) {
        opened += count;
    }
    const auto in_flight = runs_in_flight(state, endpoint);
    const auto limit_when_full = static_cast<std::size_t>(std::max(1, state.settings.extra_in_flight));
    std::map<workspace_id, std::size_t> wanted;
    for (const auto& [turn, runs] : endpoint.queue.turns) {
        for (std::size_t round = 0; round < limit; ++round) {
            for (const auto& workspace : runs.lanes.round_robin) {
                const auto& items = runs.lanes.waiting.at(workspace);
                if (round >= items.size() || continues_transaction(items[round].request)) {
                    continue;
                }
                const bool is_full = in_flight + opened >= limit;
                if (is_full && opened >= limit_when_full) {
                    return;
                }
                const auto found = opening.find(workspace);
                const bool is_missing = ++wanted[workspace] > (found == opening.end() ? 0 : found->second);
                if (is_missing && (!is_full || (wanted[workspace] == 1 && !connected.contains(workspace)))) {
                    open_connection_for(state, endpoint, items[round].request, now);
                    ++opened;
                }
            }
        }
    }
}

/// Sends runs that need a free connection, while statements in flight are below their limit.
void start_waiting(executor_state& state, endpoint_executor& endpoint, instant now) {
    while (!endpoint.queue.turns.empty() && runs_in_flight(state, endpoint) < in_flight_limit(state, endpoint)) {
        const auto idle = workspaces_of(state, endpoint, is_free);
        const auto accept = [&](submitted_run& run) {
            return idle.contains(run.request.workspace) && try_start(state, endpoint, run, now);
        };
        if (idle.empty() || !take_run(endpoint.queue, run_rank::in_time, run_rank::late, accept)) {
            return;
        }
    }
}

}  // namespace

bool is_free(const executor_connection& connection) {
    return connection.stage == connection_stage::idle && !connection.transaction;
}

std::size_t runs_in_flight(const executor_state& state, const endpoint_executor& endpoint) {
    return static_cast<std::size_t>(
        std::ranges::count_if(endpoint.connections, [&](connection_id id) { return state.connections.at(id).run.has_value(); }));
}

bool is_for_leader_change(const run_request& request) {
    return is_administrative(request.kind) && request.round == 0;
}

bool is_run_allowed(const endpoint_executor& endpoint, const run_request& request, instant now) {
    if (request.round == 0) {
        return true;
    }
    const auto& lease = endpoint.lease;
    const bool held = lease && lease->round == request.round && now < lease->until;
    return held && (!lease->closing || continues_transaction(request));
}

void send_run(executor_state& state, executor_connection& connection, instant now) {
    const auto& request = connection.run->request;
    connection.stage = connection_stage::running;
    connection.since = now;
    connection.run->sent = now;
    if (is_administrative(request.kind)) {
        const auto command = request.kind == run_kind::status ? endpoint_command::status : endpoint_command::demote;
        connection.setup_replies = 0;
        state.actions.emplace_back(send_endpoint_statements{connection.id, {{command, "", request.text, "", false, {}}}});
        return;
    }
    auto statements = make_setup_statements(connection, request, state.settings.prepared_limit);
    connection.setup_replies = statements.size();
    // BEGIN has checked the position, but what was taken for its answer may have been a repetition of an earlier one.
    const bool begins_with_read = request.kind == run_kind::read && request.start != transaction_start::none;
    const auto after = request.transaction == 0 || begins_with_read ? request.after : std::nullopt;
    if (request.prepared) {
        statements.push_back(
            {endpoint_command::execute, request.statement_id, request.text, prepared_name(*request.prepared), false, after});
    } else {
        statements.push_back({endpoint_command::statement, request.statement_id, request.text, "", false, after});
    }
    state.actions.emplace_back(send_endpoint_statements{connection.id, std::move(statements)});
}

void dispatch_runs(executor_state& state, endpoint_executor& endpoint, instant now) {
    const auto accept = [&](submitted_run& run) { return try_start(state, endpoint, run, now); };
    while (take_run(endpoint.queue, run_rank::holds_connection, run_rank::holds_connection, accept)) {
    }
    start_waiting(state, endpoint, now);
    open_missing_connections(state, endpoint, now);
}

void finish_run(executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, run_result result) {
    result.id = run.request.id;
    // A transaction counts once, with its first statement.
    const bool begins_operation = !is_administrative(run.request.kind) && !continues_transaction(run.request);
    if (result.outcome != run_outcome::not_run && begins_operation && !run.request.workspace.empty()) {
        state.started.push_back({run.request.workspace, run.sent});
    }
    result.wait = estimated_wait(state, endpoint);
    result.transaction_open = run.request.transaction != 0 && state.transactions.contains({run.origin, run.request.transaction});
    state.results.push_back({run.origin, std::move(result), run.request.endpoint});
}

void refuse_run(executor_state& state, const endpoint_executor& endpoint, const submitted_run& run, result_code code,
                const char* reason) {
    run_result result;
    result.outcome = run_outcome::not_run;
    result.code = code;
    result.text = reason;
    finish_run(state, endpoint, run, std::move(result));
}

void drop_connection(executor_state& state, connection_id id) {
    const auto found = state.connections.find(id);
    if (found == state.connections.end()) {
        return;
    }
    if (found->second.transaction) {
        state.transactions.erase(*found->second.transaction);
    }
    if (const auto endpoint = state.endpoints.find(found->second.endpoint); endpoint != state.endpoints.end()) {
        endpoint->second.connections.erase(id);
    }
    state.actions.emplace_back(close_endpoint_connection{id});
    state.connections.erase(found);
}

}  // namespace camphorstack
