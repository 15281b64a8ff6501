#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"

namespace camphorstack::session_tests {

/// One committed transaction: the items that it wrote, with their data.
struct log_entry {
    log_position position;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> statement_ids;
};

/// A transaction on a connection.
struct open_transaction {
    bool read_only = false;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> statement_ids;
};

/// A connection's side at an instance.
struct instance_connection {
    workspace_id workspace;
    std::map<std::string, std::string> values;
    std::map<std::string, bool> prepared;  ///< Whether it writes, by name.
    std::optional<open_transaction> transaction;
};

/// A statement that an instance ran, for the checks.
struct observed_run {
    instant at;
    endpoint_id endpoint;
    std::string statement_id;
    workspace_id workspace;
    bool writes = false;
    std::map<std::string, std::string> values;
};

/// One instance of a database.
struct instance_model {
    endpoint_entry entry;
    bool alive = true;
    bool primary = false;
    term_number term = 1;
    std::vector<log_entry> log;  ///< Received.
    std::size_t applied = 0;     ///< Entries that reads see.
    std::map<connection_id, instance_connection> connections;
};

/// A replicated database that commits at its primary and is promoted from outside. Replication is driven by `replicate`.
class database_model {
public:
    database_model(database_id id, const std::vector<data_centre_id>& locations);

    /// Runs one statement on a connection. The caller has checked that the instance can be reached.
    endpoint_reply run(instance_model& instance, connection_id connection, const endpoint_statement& wanted, instant now);

    /// Every reachable replica receives and applies what the primary of the highest term holds.
    void replicate(const std::set<endpoint_id>& unreachable);

    /// Makes a running instance the primary of the next term, with the log that it has.
    bool promote(const endpoint_id& id);

    [[nodiscard]] instance_model& primary();

    database_id id;
    std::map<endpoint_id, instance_model> instances;
    std::vector<observed_run> runs;

private:
    endpoint_reply commit(instance_model& instance, instance_connection& connection, open_transaction ended);
    endpoint_reply run_statement(instance_model& instance, instance_connection& connection, const endpoint_statement& wanted,
                                 instant now);

    term_number newest_term = 1;
};

}  // namespace camphorstack::session_tests
