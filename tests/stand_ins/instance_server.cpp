#include "stand_ins/instance_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "camphorstack/links/endpoint_sql.hpp"

namespace camphorstack::stand_ins {

namespace {

constexpr std::array operations{endpoint_operation::status,  endpoint_operation::execute,  endpoint_operation::begin,
                                endpoint_operation::commit,  endpoint_operation::rollback, endpoint_operation::fence,
                                endpoint_operation::promote, endpoint_operation::follow};
/// Limits the size of a reply, so that sending the log to a replica that is far behind does not block the instance.
constexpr std::size_t max_log_entries_per_reply = 500;

std::optional<std::uint64_t> to_number(const std::string& text) {
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value).ptr;
    return text.empty() || end != text.data() + text.size() ? std::nullopt : std::optional(value);
}

std::optional<endpoint_call> to_call(const function_call& function) {
    const auto operation = std::find_if(operations.begin(), operations.end(),
                                        [&](endpoint_operation candidate) { return function.name == to_string(candidate); });
    constexpr std::size_t argument_count = 5;
    if (operation == operations.end() || function.arguments.size() != argument_count) {
        return std::nullopt;
    }
    const auto& arguments = function.arguments;
    const auto term = to_number(arguments[0]);
    if (!term || (arguments[1] != "true" && arguments[1] != "false")) {
        return std::nullopt;
    }
    return endpoint_call{0, *operation, *term, arguments[1] == "true", arguments[2], arguments[3], arguments[4]};
}

const char* name_of(endpoint_error failure) {
    switch (failure) {
        case endpoint_error::none:
            return "none";
        case endpoint_error::refused_term:
            return "refused_term";
        case endpoint_error::refused_busy:
            return "refused_busy";
        case endpoint_error::bad_statement:
            return "bad_statement";
        case endpoint_error::no_transaction:
            return "no_transaction";
    }
    return "none";
}

bool needs_slot(const endpoint_call& call) {
    return call.operation == endpoint_operation::execute || call.operation == endpoint_operation::commit;
}

}  // namespace

pg_table to_table(const endpoint_answer& answer) {
    return {{"request", "failure", "body", "role", "term", "position_term", "position_index", "replication_age_ms"},
            {{answer.request, name_of(answer.failure), answer.body, answer.role == endpoint_role::primary ? "primary" : "replica",
              std::to_string(answer.term), std::to_string(answer.position.term), std::to_string(answer.position.index),
              std::to_string(answer.replication_age.count)}}};
}

instance_server::instance_server(instance_options requested)
    : options(std::move(requested)),
      server(options.listen, {[this](pg_session session, const std::string& user) { this->on_login_requested(session, user); },
                              [this](pg_session session, const std::string& query) { this->on_query_received(session, query); },
                              [this](pg_session session) { this->on_closed(session); }}),
      puller(this->instance, this->options) {
    this->instance.id = this->options.id;
}

void instance_server::on_login_requested(pg_session session, const std::string& user) {
    const bool is_replica = user == replication_user;
    if (!is_replica && this->sessions.size() >= this->options.connections) {
        this->server.reject_login(session, "53300", "too many connections");
        return;
    }
    (is_replica ? this->replicas : this->sessions).insert(session);
    this->timer.run_after(this->options.connect_time, [this, session] { this->server.accept_login(session); });
}

void instance_server::on_query_received(pg_session session, const std::string& query) {
    const auto function = parse_function_call(query);
    if (function && function->name == "log" && this->replicas.contains(session)) {
        this->answer_log(session, *function);
        return;
    }
    const auto call = function ? to_call(*function) : std::nullopt;
    if (!call) {
        this->server.send_error(session, "42601", "not a function of this database");
    } else if (needs_slot(*call)) {
        this->waiting.push_back({session, *call});
        this->start_statements();
    } else {
        this->run(session, *call);
    }
}

void instance_server::on_closed(pg_session session) {
    this->sessions.erase(session);
    this->replicas.erase(session);
    drop_connection(this->instance, session);
    std::erase_if(this->waiting, [session](const waiting_statement& item) { return item.session == session; });
}

void instance_server::start_statements() {
    while (this->busy_slots < this->options.slots && !this->waiting.empty()) {
        ++this->busy_slots;
        const auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        const bool in_transaction = this->instance.transactions.contains(next.session);
        this->timer.run_after(this->options.service_time, [this, next, in_transaction] {
            --this->busy_slots;
            // A started statement runs even if its connection has been closed, unless the close rolled back its transaction.
            if (!in_transaction || this->sessions.contains(next.session)) {
                this->run(next.session, next.call);
            }
            this->start_statements();
        });
    }
}

void instance_server::run(pg_session session, const endpoint_call& call) {
    const auto answer = run_call(this->instance, session, call, this->time.now());
    this->server.answer(session, to_table(answer));
}

void instance_server::answer_log(pg_session session, const function_call& call) {
    const auto first = call.arguments.empty() ? std::nullopt : to_number(call.arguments.front());
    if (!first || this->instance.role != endpoint_role::primary) {
        this->server.send_error(session, "55000", "not a primary, or no index");
        return;
    }
    this->server.answer(session, to_table(read_log_part(this->instance, *first, max_log_entries_per_reply)));
}

}  // namespace camphorstack::stand_ins
