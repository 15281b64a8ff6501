#include "camphorstack/endpoints/lost_calls.hpp"

#include <utility>

#include "camphorstack/endpoints/replies.hpp"

namespace camphorstack {

namespace {

/// Reads have no effect, and a begin ends with its connection, so both may be sent again.
void retry_once(group_step& step, waiting_request item) {
    if (item.retried || item.deadline <= step.now) {
        reply_failed(step, item, refusal::connection_lost);
        return;
    }
    item.retried = true;
    requeue_request(step.state.queue, std::move(item));
}

void handle_lost_request(group_step& step, waiting_request item) {
    switch (item.request.kind) {
        case request_kind::read:
        case request_kind::begin:
            retry_once(step, std::move(item));
            break;
        case request_kind::write:
            handle_lost_write(step, std::move(item));
            break;
        case request_kind::commit:
            reply_failed(step, item, refusal::connection_lost);
            break;
        case request_kind::statement:
        case request_kind::rollback:
            reply_failed(step, item, refusal::transaction_lost);
            break;
    }
}

}  // namespace

void handle_lost_connection(group_step& step, group_connection& connection) {
    if (connection.call && connection.call->request) {
        handle_lost_request(step, std::move(*connection.call->request));
    }
    if (!connection.transaction.empty()) {
        remove_transaction(step, connection.transaction);
    }
}

void handle_lost_write(group_step& step, waiting_request item) {
    const bool harmless = item.request.idempotent || !item.request.idempotency_key.empty();
    if (item.request.kind != request_kind::write || !harmless || item.deadline <= step.now) {
        reply_failed(step, item, refusal::connection_lost);
        return;
    }
    requeue_request(step.state.queue, std::move(item));
}

void remove_transaction(group_step& step, const std::string& id) {
    auto node = step.state.transactions.extract(id);
    if (node.empty()) {
        return;
    }
    for (const auto& item : node.mapped().pending) {
        reply_failed(step, item, refusal::transaction_lost);
    }
}

}  // namespace camphorstack
