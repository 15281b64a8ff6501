#include "camphorstack/endpoints/transactions.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "camphorstack/endpoints/acknowledgement.hpp"
#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/lost_calls.hpp"
#include "camphorstack/endpoints/pool.hpp"
#include "camphorstack/endpoints/replies.hpp"
#include "camphorstack/endpoints/reports.hpp"

namespace camphorstack {

bool is_in_transaction(request_kind kind) {
    return kind == request_kind::statement || kind == request_kind::commit || kind == request_kind::rollback;
}

std::size_t count_transactions(const group_state& state, const endpoint_id& target) {
    std::size_t count = 0;
    for (const auto& [id, transaction] : state.transactions) {
        count += transaction.target == target ? 1 : 0;
    }
    for (const auto& [id, connection] : state.connections) {
        const bool begins = connection.call && connection.call->call.operation == endpoint_operation::begin;
        count += begins && connection.target == target ? 1 : 0;
    }
    return count;
}

namespace {

/// A read gives up early enough to be sent again before its deadline.
millis call_timeout(const group_step& step, const waiting_request& item) {
    const auto& settings = step.state.settings;
    if (item.request.kind != request_kind::read || item.retried) {
        return settings.statement_timeout;
    }
    return std::min(settings.statement_timeout, std::max(settings.suspect_after, (item.deadline - step.now) / 2));
}

}  // namespace

void send_request(group_step& step, group_connection& connection, endpoint_call call, waiting_request item) {
    const bool sent_before = item.sent;
    start_call(step, connection, std::move(call), call_purpose::request, call_timeout(step, item));
    item.sent = true;
    connection.last_used = step.now;
    connection.call->sent_before = sent_before;
    connection.call->request = std::move(item);
}

void submit_in_transaction(group_step& step, waiting_request item) {
    const auto found = step.state.transactions.find(item.request.transaction);
    if (found == step.state.transactions.end()) {
        reply_failed(step, item, refusal::transaction_lost);
    } else if (found->second.workspace != item.request.workspace) {
        reply_failed(step, item, refusal::bad_token);
    } else if (found->second.pending.size() >= step.state.settings.queue_limit) {
        reply_failed(step, item, refusal::queue_full);
    } else {
        found->second.pending.push_back(std::move(item));
    }
}

void open_transaction(group_step& step, connection_id connection, waiting_request item, const call_in_flight& call,
                      const endpoint_answer& answer) {
    const auto found = step.state.connections.find(connection);
    if (found == step.state.connections.end() || answer.position < item.request.session) {
        item.sent = false;  // The begun transaction ends with its connection and has no effect.
        close_connection_by_id(step, connection);
        requeue_request(step.state.queue, std::move(item));
        return;
    }
    group_transaction transaction;
    transaction.id = std::to_string(connection) + ":" + item.request.id;
    transaction.workspace = item.request.workspace;
    transaction.connection = connection;
    transaction.target = found->second.target;
    transaction.term = call.call.term;
    transaction.opened = step.now;
    found->second.transaction = transaction.id;
    reply_done(step, item, {answer.body, {}, transaction.id, transaction.target});
    step.state.transactions.emplace(transaction.id, std::move(transaction));
}

namespace {

endpoint_operation operation_of(request_kind kind) {
    switch (kind) {
        case request_kind::commit:
            return endpoint_operation::commit;
        case request_kind::rollback:
            return endpoint_operation::rollback;
        default:
            return endpoint_operation::execute;
    }
}

void send_next(group_step& step, group_transaction& transaction) {
    auto& connection = step.state.connections.at(transaction.connection);
    const auto& instance = step.state.instances.at(transaction.target);
    const auto load = connection_load(step.state, transaction.target, step.now);
    if (connection.call || load.running >= statement_limit(instance) || step.now < instance.busy_until) {
        return;
    }
    auto item = std::move(transaction.pending.front());
    transaction.pending.pop_front();
    endpoint_call call;
    call.request = item.request.id;
    call.operation = operation_of(item.request.kind);
    call.statement = item.request.statement;
    call.idempotency_key = item.request.idempotency_key;
    // The instance refuses a write of another term, so a statement never runs outside of its transaction after a promotion.
    call.write = true;
    call.term = transaction.term;
    send_request(step, connection, std::move(call), std::move(item));
}

}  // namespace

void send_transaction_statements(group_step& step) {
    for (auto& [id, transaction] : step.state.transactions) {
        if (!transaction.pending.empty()) {
            send_next(step, transaction);
        }
    }
}

namespace {

void end_transaction(group_step& step, connection_id connection, const std::string& id) {
    const auto found = step.state.connections.find(connection);
    if (found != step.state.connections.end()) {
        found->second.transaction.clear();
    }
    remove_transaction(step, id);
}

void handle_refused_statement(group_step& step, connection_id connection, waiting_request item, const endpoint_answer& answer) {
    item.sent = false;
    const auto transaction = step.state.transactions.find(item.request.transaction);
    if (answer.failure == endpoint_error::bad_statement) {
        reply_failed(step, item, refusal::statement_refused, answer.body);
    } else if (answer.failure == endpoint_error::refused_busy && transaction != step.state.transactions.end()) {
        step.state.instances.at(transaction->second.target).busy_until = step.now + busy_backoff;
        transaction->second.pending.push_front(std::move(item));
    } else {
        reply_failed(step, item, refusal::transaction_lost, answer.body);
        close_connection_by_id(step, connection);
    }
}

}  // namespace

void handle_transaction_answer(group_step& step, const statement_origin& origin, waiting_request item,
                               const endpoint_answer& answer) {
    const auto id = item.request.transaction;
    const auto connection = origin.connection;
    const auto& target = origin.target;
    if (answer.failure != endpoint_error::none) {
        handle_refused_statement(step, connection, std::move(item), answer);
    } else if (item.request.kind == request_kind::statement) {
        reply_done(step, item, {answer.body, {}, "", target});
    } else if (item.request.kind == request_kind::rollback) {
        end_transaction(step, connection, id);
        reply_done(step, item, {answer.body, {}, "", target});
    } else {
        end_transaction(step, connection, id);
        await_acknowledgement(step, {std::move(item), origin.term, answer.position, answer.body, target});
    }
}

namespace {

void refuse_expired_statements(group_step& step, group_transaction& transaction) {
    auto& pending = transaction.pending;
    const auto first = std::stable_partition(pending.begin(), pending.end(),
                                             [&](const waiting_request& item) { return item.deadline > step.now; });
    for (auto item = first; item != pending.end(); ++item) {
        reply_failed(step, *item, refusal::deadline);
    }
    pending.erase(first, pending.end());
}

void roll_back_expired(group_step& step, const std::string& id) {
    const auto connection_key = step.state.transactions.at(id).connection;
    auto& connection = step.state.connections.at(connection_key);
    if (connection.call) {
        return;  // The statement in flight is answered first.
    }
    end_transaction(step, connection_key, id);
    endpoint_call call;
    call.operation = endpoint_operation::rollback;
    start_call(step, connection, std::move(call), call_purpose::roll_back_expired, step.state.settings.statement_timeout);
    record_decision(step, "transaction_expired", "transaction=" + id);
}

}  // namespace

void expire_transactions(group_step& step) {
    std::vector<std::string> outlived;
    for (auto& [id, transaction] : step.state.transactions) {
        refuse_expired_statements(step, transaction);
        if (step.now - transaction.opened >= step.state.settings.transaction_lifetime) {
            outlived.push_back(id);
        }
    }
    for (const auto& id : outlived) {
        roll_back_expired(step, id);
    }
}

}  // namespace camphorstack
