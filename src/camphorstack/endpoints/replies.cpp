#include "camphorstack/endpoints/replies.hpp"

#include <utility>

namespace camphorstack {

void reply_done(group_step& step, const waiting_request& item, request_result result) {
    database_reply reply;
    reply.id = item.request.id;
    reply.outcome = request_outcome::done;
    reply.body = std::move(result.body);
    reply.session = std::max(item.request.session, result.session);
    reply.transaction = std::move(result.transaction);
    reply.served_by = std::move(result.served_by);
    step.actions.emplace_back(reply_to_request{item.origin, std::move(reply)});
}

void reply_failed(group_step& step, const waiting_request& item, refusal reason, const std::string& text) {
    database_reply reply;
    reply.id = item.request.id;
    reply.outcome = item.sent ? request_outcome::unknown : request_outcome::not_run;
    reply.reason = reason;
    reply.body = text;
    reply.session = item.request.session;
    step.actions.emplace_back(reply_to_request{item.origin, std::move(reply)});
}

}  // namespace camphorstack
