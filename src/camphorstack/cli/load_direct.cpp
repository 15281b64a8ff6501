#include "camphorstack/cli/load_direct.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "camphorstack/links/endpoint_sql.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

endpoint_operation operation_of(request_kind kind) {
    switch (kind) {
        case request_kind::begin:
            return endpoint_operation::begin;
        case request_kind::commit:
            return endpoint_operation::commit;
        case request_kind::rollback:
            return endpoint_operation::rollback;
        case request_kind::read:
        case request_kind::write:
        case request_kind::statement:
            break;
    }
    return endpoint_operation::execute;
}

load_answer to_load_answer(const endpoint_answer& answer, const std::string& instance) {
    load_answer result;
    result.answered = true;
    result.outcome = answer.failure == endpoint_error::none ? request_outcome::done : request_outcome::not_run;
    result.reason = answer.failure == endpoint_error::none ? "" : answer.body;
    result.result = answer.body;
    // There are no transaction tokens here: a transaction belongs to the connection of its session. Any text that is not empty
    // marks the later requests of the transaction.
    result.transaction = "own";
    result.served_by = instance;
    return result;
}

}  // namespace

load_direct::load_direct(const load_plan& offered) : plan(offered) {}

void load_direct::send(const load_request& request, callback done) {
    auto& target = this->session_connections[request.session];
    target.done = std::move(done);
    target.load_call = this->make_call(request);
    if (target.in_transaction && request.transaction.empty()) {
        // The session abandoned its transaction; closing the connection rolls the transaction back.
        target.connection.reset();
    }
    target.in_transaction = !request.transaction.empty() || request.kind == request_kind::begin;
    if (!target.connection) {
        this->open(request.session);
    } else {
        this->send_call(request.session, target.load_call);
    }
}

endpoint_call load_direct::make_call(const load_request& request) {
    endpoint_call call;
    call.id = ++this->last_call_id;
    call.operation = operation_of(request.kind);
    call.write = request.kind != request_kind::read;
    call.request = "direct-" + std::to_string(call.id);
    call.idempotency_key = request.idempotency_key;
    call.statement = request.statement;
    return call;
}

void load_direct::open(std::size_t session) {
    pg_connection_events events{[this, session] {
                                    endpoint_call status;
                                    status.id = ++this->last_call_id;
                                    this->send_call(session, status);
                                },
                                [this, session](const PGresult& rows) { this->on_answered(session, rows); },
                                [this, session] { this->on_closed(session); }};
    this->session_connections[session].connection =
        std::make_unique<pg_connection>(this->plan.targets[0], "camphorstack", this->watcher, std::move(events));
}

void load_direct::send_call(std::size_t session, const endpoint_call& call) {
    auto& target = this->session_connections[session];
    target.sent_call = call;
    target.sent_call.term = std::max<term_number>(this->term, 1);
    target.connection->send(
        to_query(target.sent_call, [&](const std::string& text) { return target.connection->literal(text); }));
}

void load_direct::ensure_primary(std::size_t session, const endpoint_answer& answer) {
    this->term = answer.term;
    if (answer.role == endpoint_role::primary) {
        this->send_call(session, this->session_connections[session].load_call);
        return;
    }
    endpoint_call promote;
    promote.id = ++this->last_call_id;
    promote.operation = endpoint_operation::promote;
    this->send_call(session, promote);
}

void load_direct::on_answered(std::size_t session, const PGresult& rows) {
    auto& target = this->session_connections[session];
    std::optional<endpoint_answer> answer;
    try {
        answer = to_answer(rows, target.sent_call);
    } catch (const format_error&) {
        this->on_closed(session);
        return;
    }
    if (target.sent_call.operation == endpoint_operation::status || target.sent_call.operation == endpoint_operation::promote) {
        this->ensure_primary(session, *answer);
    } else {
        target.in_transaction = target.in_transaction && target.sent_call.operation != endpoint_operation::commit;
        std::exchange(target.done, nullptr)(to_load_answer(*answer, this->plan.targets[0]));
    }
}

void load_direct::on_closed(std::size_t session) {
    auto& target = this->session_connections[session];
    target.connection.reset();
    target.in_transaction = false;
    if (const auto done = std::exchange(target.done, nullptr); done) {
        done(load_answer{});
    }
}

}  // namespace camphorstack
