#include "camphorstack/executors/connection_setup.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

const std::string* find_value(const std::vector<session_value>& values, const std::string& name) {
    const auto found = std::ranges::find(values, name, &session_value::name);
    return found == values.end() ? nullptr : &found->value;
}

}  // namespace

std::string prepared_name(const prepared_shape& shape) {
    std::string name = shape.writes ? "w_" : "r_";
    for (const char byte : shape.shape) {
        // A name is one word. The escape character is escaped too, so that names of different shapes differ.
        if (byte == ' ') {
            name += "%s";
        } else if (byte == '%') {
            name += "%%";
        } else {
            name += byte;
        }
    }
    return name;
}

bool has_session_values(const executor_connection& connection, const std::vector<session_value>& values) {
    return connection.values.size() == values.size() && std::ranges::all_of(values, [&](const session_value& wanted) {
               const auto found = connection.values.find(wanted.name);
               return found != connection.values.end() && found->second == wanted.value;
           });
}

std::vector<endpoint_statement> make_setup_statements(executor_connection& connection, const run_request& request,
                                                      std::size_t prepared_limit) {
    std::vector<endpoint_statement> statements;
    const bool has_other_values = std::ranges::any_of(
        connection.values, [&](const auto& entry) { return find_value(request.values, entry.first) == nullptr; });
    const bool has_too_many_prepared = request.prepared && connection.prepared.size() >= prepared_limit &&
                                       !connection.prepared.contains(prepared_name(*request.prepared));
    // A reset would end the transaction. Within a session's transaction its values are only added or changed, so the connection
    // has no other session's values then.
    const bool in_transaction = continues_transaction(request);
    if ((has_other_values || has_too_many_prepared) && !in_transaction) {
        statements.push_back({endpoint_command::reset, "", "", "", false, {}});
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& wanted : request.values) {
        const auto held = connection.values.find(wanted.name);
        if (held == connection.values.end() || held->second != wanted.value) {
            statements.push_back({endpoint_command::set_value, "", wanted.value, wanted.name, false, {}});
            connection.values[wanted.name] = wanted.value;
        }
    }
    if (request.prepared) {
        const auto name = prepared_name(*request.prepared);
        if (connection.prepared.insert(name).second) {
            statements.push_back({endpoint_command::prepare, "", request.prepared->shape, name, request.prepared->writes, {}});
        }
    }
    return statements;
}

}  // namespace camphorstack
