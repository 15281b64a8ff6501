#include "session_fleet/database_model.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack::session_tests {

namespace {

/// Splits a statement's text at its first blanks into at most `limit` fields. The last field extends to the end of the text.
std::vector<std::string> fields_of(const std::string& text, std::size_t limit) {
    std::vector<std::string> fields;
    std::size_t start = 0;
    while (fields.size() + 1 < limit && text.find(' ', start) != std::string::npos) {
        const auto end = text.find(' ', start);
        fields.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    fields.push_back(text.substr(start));
    return fields;
}

/// Returns a proof that no other statement's answer has.
std::string proof_of(const endpoint_statement& ended) {
    return "proof-" + ended.id;
}

log_position end_of(const instance_model& instance) {
    return instance.log.empty() ? log_position{1, 0} : instance.log.back().position;
}

log_position applied_end(const instance_model& instance) {
    return instance.applied == 0 ? log_position{1, 0} : instance.log[instance.applied - 1].position;
}

session_state state_of(const instance_connection& connection) {
    if (!connection.transaction) {
        return session_state::idle;
    }
    return connection.transaction->failed ? session_state::failed : session_state::in_transaction;
}

endpoint_reply error_reply(result_code code) {
    endpoint_reply reply;
    reply.code = code;
    return reply;
}

std::string read_item(const instance_model& instance, const std::string& item) {
    for (std::size_t i = instance.applied; i > 0; --i) {
        const auto& writes = instance.log[i - 1].writes;
        const auto newest = std::find_if(writes.rbegin(), writes.rend(), [&](const auto& write) { return write.first == item; });
        if (newest != writes.rend()) {
            return newest->second;
        }
    }
    return "none";
}

bool ends_transaction(const endpoint_statement& requested) {
    return requested.command == endpoint_command::rollback ||
           (requested.command == endpoint_command::statement && requested.text == "COMMIT");
}

bool commits(const endpoint_statement& requested) {
    return requested.command == endpoint_command::statement &&
           (requested.text == "COMMIT" || fields_of(requested.text, 2).front() == "WRITE");
}

bool is_about_instance(const endpoint_statement& requested) {
    return requested.command == endpoint_command::reset || requested.command == endpoint_command::status ||
           requested.command == endpoint_command::demote;
}

}  // namespace

bool holds_write(const instance_model& instance, const std::string& statement_id) {
    return std::ranges::any_of(instance.log, [&](const log_entry& entry) {
        return std::ranges::find(entry.statement_ids, statement_id) != entry.statement_ids.end();
    });
}

database_model::database_model(database_id name, const std::vector<data_centre_id>& locations) : id(std::move(name)) {
    for (std::size_t i = 0; i < locations.size(); ++i) {
        instance_model instance;
        instance.entry.id = this->id + "-" + std::to_string(i);
        instance.entry.database = this->id;
        instance.entry.address = "10.9.0." + std::to_string(i) + ":1";
        instance.entry.location = locations[i];
        instance.entry.slots = 2;
        instance.entry.is_primary = i == 0;
        instance.primary = i == 0;
        this->instances.emplace(instance.entry.id, instance);
    }
}

endpoint_reply database_model::run(instance_model& instance, connection_id connection, const endpoint_statement& requested,
                                   instant now) {
    auto& from = instance.connections.at(connection);
    observed_answer observed;
    if (this->records_answers) {
        const auto prepared = from.prepared.find(requested.name);
        observed = {instance.entry.id,
                    requested,
                    from.workspace,
                    from.values,
                    prepared == from.prepared.end() ? std::nullopt : std::optional(prepared->second),
                    from.transaction ? from.transaction->number : 0,
                    {}};
    }
    auto reply = this->run_unless_refused(instance, from, requested, now);
    if (reply.code != result_code::none && from.transaction) {
        from.transaction->failed = true;
    }
    reply.state = state_of(from);
    if (!this->hides_positions_of_writes || !commits(requested)) {
        reply.position = applied_end(instance);
    }
    if (this->records_answers) {
        observed.reply = reply;
        this->answers.push_back(std::move(observed));
    }
    return reply;
}

endpoint_reply database_model::run_unless_refused(instance_model& instance, instance_connection& connection,
                                                  const endpoint_statement& requested, instant now) {
    if (connection.transaction && connection.transaction->failed && !is_about_instance(requested)) {
        if (!ends_transaction(requested)) {
            return error_reply(result_code::malformed);
        }
        connection.transaction.reset();
        return requested.command == endpoint_command::rollback ? endpoint_reply{} : error_reply(result_code::aborted);
    }
    const auto refusal = this->refuse ? this->refuse(instance.entry.id, requested) : std::nullopt;
    if (refusal && *refusal != result_code::failed) {
        return error_reply(*refusal);
    }
    auto reply = this->run_statement(instance, connection, requested, now);
    return refusal && reply.code == result_code::none ? error_reply(*refusal) : reply;
}

endpoint_reply database_model::commit(instance_model& instance, const endpoint_statement& requested, open_transaction ended) {
    if (!ended.writes.empty()) {
        if (!instance.primary) {
            return error_reply(result_code::read_only);
        }
        log_entry entry{{instance.term, end_of(instance).index + 1}, std::move(ended.writes), std::move(ended.statement_ids)};
        instance.log.push_back(std::move(entry));
        instance.applied = instance.log.size();
    }
    endpoint_reply reply;
    reply.proof = proof_of(requested);
    return reply;
}

endpoint_reply database_model::run_statement(instance_model& instance, instance_connection& connection,
                                             const endpoint_statement& requested, instant now) {
    if (requested.after && applied_end(instance) < *requested.after) {
        return error_reply(result_code::lagging);
    }
    switch (requested.command) {
        case endpoint_command::reset:
            connection.values.clear();
            connection.prepared.clear();
            return {};
        case endpoint_command::set_value:
            connection.values[requested.name] = requested.text;
            return {};
        case endpoint_command::prepare:
            connection.prepared[requested.name] = {requested.writes, requested.text};
            return {};
        case endpoint_command::begin:
        case endpoint_command::begin_read_only:
            if (requested.command == endpoint_command::begin && !instance.primary) {
                return error_reply(result_code::read_only);
            }
            connection.transaction =
                open_transaction{requested.command == endpoint_command::begin_read_only, false, {}, {}, ++this->last_transaction};
            return {};
        case endpoint_command::rollback:
            connection.transaction.reset();
            return {};
        case endpoint_command::demote:
            if (instance.term < std::stoull(requested.text)) {
                instance.primary = false;
                instance.entry.is_primary = false;
            }
            [[fallthrough]];
        case endpoint_command::status: {
            endpoint_reply reply;
            reply.status = endpoint_self_report{instance.primary, instance.term, end_of(instance), millis{0}};
            return reply;
        }
        case endpoint_command::statement:
        case endpoint_command::execute:
            break;
    }
    if (!this->error_text.empty()) {
        auto reply = error_reply(result_code::failed);
        reply.text = this->error_text;
        return reply;
    }
    const bool executes = requested.command == endpoint_command::execute;
    const auto word = fields_of(requested.text, 2).front();
    if (executes && !connection.prepared.contains(requested.name)) {
        return error_reply(result_code::no_statement);
    }
    if (!executes && word == "COMMIT") {
        if (!connection.transaction) {
            return error_reply(result_code::malformed);
        }
        auto ended = std::move(*std::exchange(connection.transaction, std::nullopt));
        ended.statement_ids.push_back(requested.id);
        return this->commit(instance, requested, std::move(ended));
    }
    const bool writes = executes ? connection.prepared.at(requested.name).writes : word == "WRITE";
    // A read's item extends to the end of the text, as the data of a write does.
    const auto arguments = fields_of(executes ? requested.text : fields_of(requested.text, 2).back(), writes ? 2 : 1);
    const auto& item = arguments.front();
    if (writes && arguments.size() < 2) {
        return error_reply(result_code::malformed);
    }
    if (writes && (!instance.primary || (connection.transaction && connection.transaction->read_only))) {
        return error_reply(result_code::read_only);
    }
    this->runs.push_back({now, instance.entry.id, requested.id, connection.workspace, writes, connection.values});
    endpoint_reply reply;
    reply.proof = proof_of(requested);
    if (!writes) {
        reply.rows.push_back(read_item(instance, item));
        return reply;
    }
    open_transaction own;
    auto& transaction = connection.transaction ? *connection.transaction : own;
    transaction.writes.emplace_back(item, arguments.at(1));
    transaction.statement_ids.push_back(requested.id);
    return connection.transaction ? reply : this->commit(instance, requested, std::move(own));
}

void database_model::replicate(const std::set<endpoint_id>& unreachable) {
    const auto& leader = this->primary();
    if (!leader.alive || unreachable.contains(leader.entry.id)) {
        return;
    }
    for (auto& [name, replica] : this->instances) {
        const bool reachable = replica.alive && !unreachable.contains(name);
        if (name != leader.entry.id && reachable) {
            const auto common = replica.log.size();
            const bool is_prefix =
                common <= leader.log.size() && (common == 0 || replica.log.back().position == leader.log[common - 1].position);
            if (!is_prefix) {
                replica.log = leader.log;
            } else {
                replica.log.insert(replica.log.end(), leader.log.begin() + static_cast<std::ptrdiff_t>(common), leader.log.end());
            }
            replica.applied = replica.log.size();
            replica.term = leader.term;
            replica.primary = false;
            replica.entry.is_primary = false;
        }
    }
}

bool database_model::promote(const endpoint_id& name) {
    auto& target = this->instances.at(name);
    if (!target.alive) {
        return false;
    }
    if (target.primary && target.term == this->newest_term) {
        return true;
    }
    target.primary = true;
    target.entry.is_primary = true;
    target.term = ++this->newest_term;
    return true;
}

instance_model& database_model::primary() {
    instance_model* newest = nullptr;
    for (auto& [name, instance] : this->instances) {
        if (instance.primary && (newest == nullptr || instance.term > newest->term)) {
            newest = &instance;
        }
    }
    return *newest;
}

}  // namespace camphorstack::session_tests
