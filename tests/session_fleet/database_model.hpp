#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"

namespace camphorstack::session_tests {

/// A committed transaction: the items that it wrote, with their values.
struct log_entry {
    log_position position;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> statement_ids;
};

/// An open transaction of a connection.
struct open_transaction {
    bool read_only = false;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> statement_ids;
    std::uint64_t number = 0;  ///< Differs from that of every other transaction of the database.
};

/// A statement that was prepared on a connection.
struct prepared_statement {
    bool writes = false;
    std::string shape;

    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// State of a connection at an instance.
struct instance_connection {
    workspace_id workspace;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;  ///< By name.
    std::optional<open_transaction> transaction;
};

/// A statement that an instance ran. Recorded for the tests' checks.
struct observed_run {
    instant at;
    endpoint_id endpoint;
    std::string statement_id;
    workspace_id workspace;
    bool writes = false;
    std::map<std::string, std::string> values;
};

/// A statement and the answer that an instance gave, with the state of the connection before the statement.
struct observed_answer {
    endpoint_id endpoint;
    endpoint_statement requested;
    workspace_id workspace;
    std::map<std::string, std::string> values;
    std::optional<prepared_statement> prepared;  ///< What the name in an `execute` stood for.
    std::uint64_t transaction = 0;               ///< Number of the connection's transaction; 0 outside a transaction.
    endpoint_reply reply;
};

/// One instance of a database.
struct instance_model {
    endpoint_entry entry;
    bool alive = true;
    bool primary = false;
    term_number term = 1;
    std::vector<log_entry> log;  ///< Received entries.
    std::size_t applied = 0;     ///< Number of entries that reads see.
    std::map<connection_id, instance_connection> connections;
};

/// Returns true if the instance's log has a write of the statement.
[[nodiscard]] bool holds_write(const instance_model& instance, const std::string& statement_id);

/// Model of a replicated database that commits at its primary. `replicate` and `promote` are called from outside.
class database_model {
public:
    database_model(database_id id, const std::vector<data_centre_id>& locations);

    /// Runs a statement on a connection. Reachability of the instance is checked by the caller.
    endpoint_reply run(instance_model& instance, connection_id connection, const endpoint_statement& requested, instant now);

    /// Copies the log of the primary with the highest term to every reachable replica, which applies all of it.
    void replicate(const std::set<endpoint_id>& unreachable);

    /// Makes an instance the primary of the next term, with its current log. Returns false if the instance is not running.
    bool promote(const endpoint_id& id);

    /// Returns the primary with the highest term.
    [[nodiscard]] instance_model& primary();

    database_id id;
    std::map<endpoint_id, instance_model> instances;
    std::vector<observed_run> runs;
    std::string error_text;  ///< If not empty, each statement fails with this text.
    bool records_answers = false;
    std::vector<observed_answer> answers;    ///< All answers, if `records_answers`.
    bool hides_positions_of_writes = false;  ///< Answers to writes and commits name no position of the log.
    /// Returns an error with which the instance answers a statement: `failed` after the statement has run, others in place of
    /// running it.
    std::function<std::optional<result_code>(const endpoint_id&, const endpoint_statement&)> refuse;

private:
    endpoint_reply commit(instance_model& instance, const endpoint_statement& requested, open_transaction ended);
    endpoint_reply run_statement(instance_model& instance, instance_connection& connection, const endpoint_statement& requested,
                                 instant now);

    endpoint_reply run_unless_refused(instance_model& instance, instance_connection& connection,
                                      const endpoint_statement& requested, instant now);

    term_number newest_term = 1;
    std::uint64_t last_transaction = 0;
};

}  // namespace camphorstack::session_tests
