#include <algorithm>
#include <utility>

#include "camphorstack/endpoints/acknowledgement.hpp"
#include "camphorstack/endpoints/dispatch.hpp"
#include "camphorstack/endpoints/group_intervals.hpp"
#include "camphorstack/endpoints/replica_choice.hpp"
#include "camphorstack/endpoints/replies.hpp"
#include "camphorstack/endpoints/reports.hpp"
#include "camphorstack/endpoints/transactions.hpp"

namespace camphorstack {

namespace {

void handle_read_answer(group_step& step, const endpoint_id& target, waiting_request item, const endpoint_answer& answer) {
    if (satisfies_read(item, answer)) {
        reply_done(step, item, {answer.body, answer.position, "", target});
        return;
    }
    item.sent = false;  // A read that is thrown away has no effect.
    item.needs_primary = true;
    requeue_request(step.state.queue, std::move(item));
}

/// The instance refused the call, so it did not run.
void handle_refused_request(group_step& step, const endpoint_id& target, waiting_request item, bool sent_before,
                            const endpoint_answer& answer) {
    item.sent = sent_before;
    if (answer.failure == endpoint_error::bad_statement) {
        reply_failed(step, item, refusal::statement_refused, answer.body);
        return;
    }
    if (auto* instance = find_instance(step.state, target)) {
        instance->busy_until = step.now + busy_backoff;
    }
    requeue_request(step.state.queue, std::move(item));
}

}  // namespace

void handle_request_answer(group_step& step, connection_id connection, const endpoint_id& target, call_in_flight call,
                           const endpoint_answer& answer) {
    auto item = std::move(*call.request);
    if (is_in_transaction(item.request.kind)) {
        handle_transaction_answer(step, {connection, target, call.call.term}, std::move(item), answer);
    } else if (answer.failure != endpoint_error::none) {
        handle_refused_request(step, target, std::move(item), call.sent_before, answer);
    } else if (item.request.kind == request_kind::read) {
        handle_read_answer(step, target, std::move(item), answer);
    } else if (item.request.kind == request_kind::begin) {
        open_transaction(step, connection, std::move(item), call, answer);
    } else {
        await_acknowledgement(step, {std::move(item), call.call.term, answer.position, answer.body, target});
    }
}

}  // namespace camphorstack
