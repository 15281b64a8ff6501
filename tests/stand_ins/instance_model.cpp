#include "stand_ins/instance_model.hpp"

#include <sstream>

namespace camphorstack::stand_ins {

namespace {

struct parsed_statement {
    std::string verb;
    std::string key;
    std::string value;
};

std::optional<parsed_statement> parse(const std::string& text) {
    std::istringstream input(text);
    parsed_statement result;
    input >> result.verb >> result.key;
    std::getline(input >> std::ws, result.value);
    const bool known = result.verb == "GET" || ((result.verb == "PUT" || result.verb == "ADD") && !result.value.empty());
    if (!known || result.key.empty()) {
        return std::nullopt;
    }
    return result;
}

std::string value_of(const std::map<std::string, std::string>& values, const std::string& key) {
    const auto found = values.find(key);
    return found == values.end() ? std::string() : found->second;
}

std::int64_t to_number(const std::string& text) {
    return std::strtoll(text.c_str(), nullptr, 10);
}

std::string new_value(const parsed_statement& statement, const std::string& old_value) {
    if (statement.verb == "ADD") {
        return std::to_string(to_number(old_value) + to_number(statement.value));
    }
    return statement.value;
}

std::string apply(instance_model& instance, const std::string& text) {
    const auto statement = parse(text);
    const auto result = new_value(*statement, value_of(instance.values, statement->key));
    instance.values[statement->key] = result;
    return result;
}

const log_entry& append(instance_model& instance, log_entry entry) {
    for (const auto& statement : entry.statements) {
        entry.result = apply(instance, statement);
    }
    if (!entry.idempotency_key.empty()) {
        instance.by_idempotency_key[entry.idempotency_key] = entry;
    }
    instance.log.push_back(std::move(entry));
    return instance.log.back();
}

void replay_log(instance_model& instance) {
    const auto entries = std::move(instance.log);
    instance.log.clear();
    instance.values.clear();
    instance.by_idempotency_key.clear();
    for (const auto& entry : entries) {
        append(instance, entry);
    }
}

log_position next_position(const instance_model& instance) {
    return {instance.term, instance.log.size() + 1};
}

endpoint_answer make_error(endpoint_answer answer, endpoint_error failure, std::string text) {
    answer.failure = failure;
    answer.body = std::move(text);
    return answer;
}

endpoint_answer write(instance_model& instance, const endpoint_call& call, endpoint_answer answer) {
    const auto statement = parse(call.statement);
    if (!statement || statement->verb == "GET") {
        return make_error(answer, endpoint_error::bad_statement, "not a write: " + call.statement);
    }
    const auto earlier = instance.by_idempotency_key.find(call.idempotency_key);
    if (!call.idempotency_key.empty() && earlier != instance.by_idempotency_key.end()) {
        answer.body = earlier->second.result;
        answer.position = last_position(instance);
        return answer;
    }
    ++instance.executed_statements;
    ++instance.write_runs[call.request];
    const auto& entry = append(instance, {next_position(instance), call.request, call.idempotency_key, {call.statement}, ""});
    answer.body = entry.result;
    answer.position = entry.position;
    return answer;
}

endpoint_answer execute_in_transaction(instance_model& instance, open_transaction& transaction, const endpoint_call& call,
                                       endpoint_answer answer) {
    const auto statement = parse(call.statement);
    if (!statement) {
        return make_error(answer, endpoint_error::bad_statement, "unknown statement: " + call.statement);
    }
    ++instance.executed_statements;
    const auto written = transaction.written_values.find(statement->key);
    const auto current =
        written == transaction.written_values.end() ? value_of(instance.values, statement->key) : written->second;
    if (statement->verb == "GET") {
        answer.body = current;
        return answer;
    }
    answer.body = new_value(*statement, current);
    transaction.written_values[statement->key] = answer.body;
    transaction.writes.push_back(call.statement);
    return answer;
}

endpoint_answer execute(instance_model& instance, std::uint64_t connection, const endpoint_call& call, endpoint_answer answer) {
    const auto open = instance.transactions.find(connection);
    if (open != instance.transactions.end()) {
        return execute_in_transaction(instance, open->second, call, answer);
    }
    if (call.write) {
        return write(instance, call, answer);
    }
    const auto statement = parse(call.statement);
    if (!statement || statement->verb != "GET") {
        return make_error(answer, endpoint_error::bad_statement, "not a read: " + call.statement);
    }
    ++instance.executed_statements;
    answer.body = value_of(instance.values, statement->key);
    return answer;
}

endpoint_answer commit(instance_model& instance, std::uint64_t connection, const endpoint_call& call, endpoint_answer answer) {
    const auto open = instance.transactions.find(connection);
    if (open == instance.transactions.end()) {
        return make_error(answer, endpoint_error::no_transaction, "no transaction on this connection");
    }
    const auto transaction = std::move(open->second);
    instance.transactions.erase(open);
    if (transaction.term != instance.term || instance.role != endpoint_role::primary) {
        return make_error(answer, endpoint_error::refused_term, "the term changed during the transaction");
    }
    if (!transaction.writes.empty()) {
        ++instance.write_runs[call.request];
        answer.position =
            append(instance, {next_position(instance), call.request, call.idempotency_key, transaction.writes, ""}).position;
    }
    return answer;
}

void accept_term(instance_model& instance, term_number term) {
    if (term > instance.term) {
        instance.term = term;
        instance.role = endpoint_role::replica;
        instance.transactions.clear();
    }
}

bool is_refused_term(const instance_model& instance, const endpoint_call& call) {
    switch (call.operation) {
        case endpoint_operation::fence:
        case endpoint_operation::promote:
        case endpoint_operation::follow:
            return call.term < instance.term;
        case endpoint_operation::begin:
        case endpoint_operation::execute:
            return call.write && (call.term != instance.term || instance.role != endpoint_role::primary);
        default:
            return false;
    }
}

void make_primary(instance_model& instance) {
    if (instance.role == endpoint_role::primary) {
        return;
    }
    instance.role = endpoint_role::primary;
    // A new primary appends an empty entry, which marks all earlier entries as part of the log of its term.
    append(instance, {next_position(instance), "", "", {}, ""});
}

}  // namespace

log_position last_position(const instance_model& instance) {
    return instance.log.empty() ? log_position{} : instance.log.back().position;
}

endpoint_answer run_call(instance_model& instance, std::uint64_t connection, const endpoint_call& call, instant now) {
    endpoint_answer answer;
    answer.id = call.id;
    answer.request = call.request;
    if (is_refused_term(instance, call)) {
        answer.failure = endpoint_error::refused_term;
        answer.body = "this instance has accepted term " + std::to_string(instance.term);
    } else {
        switch (call.operation) {
            case endpoint_operation::status:
                break;
            case endpoint_operation::execute:
                answer = execute(instance, connection, call, answer);
                break;
            case endpoint_operation::begin:
                instance.transactions[connection] = {instance.term, {}, {}};
                break;
            case endpoint_operation::commit:
                answer = commit(instance, connection, call, answer);
                break;
            case endpoint_operation::rollback:
                instance.transactions.erase(connection);
                break;
            case endpoint_operation::fence:
                accept_term(instance, call.term);
                break;
            case endpoint_operation::promote:
                accept_term(instance, call.term);
                make_primary(instance);
                break;
            case endpoint_operation::follow:
                accept_term(instance, call.term);
                instance.followed = call.statement;
                break;
        }
    }
    answer.role = instance.role;
    answer.term = instance.term;
    if (answer.position == log_position{}) {
        answer.position = last_position(instance);
    }
    answer.replication_age = instance.role == endpoint_role::primary ? millis{0} : now - instance.last_caught_up;
    return answer;
}

void drop_connection(instance_model& instance, std::uint64_t connection) {
    instance.transactions.erase(connection);
}

void append_entries(instance_model& replica, term_number primary_term, const std::vector<log_entry>& entries, std::uint64_t first,
                    std::uint64_t primary_length, instant now) {
    if (replica.role == endpoint_role::primary || primary_term < replica.term) {
        return;
    }
    replica.term = primary_term;
    std::uint64_t index = first;
    for (const auto& entry : entries) {
        if (index <= replica.log.size() && replica.log[index - 1].position != entry.position) {
            replica.log.resize(index - 1);
            replay_log(replica);
        }
        if (index == replica.log.size() + 1) {
            append(replica, entry);
        }
        ++index;
    }
    if (replica.log.size() > primary_length) {
        replica.log.resize(primary_length);
        replay_log(replica);
    }
    if (replica.log.size() == primary_length) {
        replica.last_caught_up = now;
    }
}

void replicate(instance_model& replica, const instance_model& primary, std::size_t limit, instant now) {
    if (primary.role != endpoint_role::primary) {
        return;
    }
    std::size_t common_length = std::min(replica.log.size(), primary.log.size());
    while (common_length > 0 && replica.log[common_length - 1].position != primary.log[common_length - 1].position) {
        --common_length;
    }
    const auto end = std::min(primary.log.size(), common_length + limit);
    const std::vector<log_entry> entries(primary.log.begin() + static_cast<std::ptrdiff_t>(common_length),
                                         primary.log.begin() + static_cast<std::ptrdiff_t>(end));
    append_entries(replica, primary.term, entries, common_length + 1, primary.log.size(), now);
}

}  // namespace camphorstack::stand_ins
