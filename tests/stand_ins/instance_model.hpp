#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/endpoints/endpoint_call.hpp"

namespace camphorstack::stand_ins {

/// A replicated change: the write statements of a transaction, or a single write.
struct log_entry {
    log_position position;
    request_id request;
    std::string idempotency_key;
    std::vector<std::string> statements;
    std::string result;  ///< Result of the last statement.

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// A transaction that is open on one connection.
struct open_transaction {
    term_number term = 0;                               ///< Term in which the transaction began.
    std::vector<std::string> writes;                    ///< Write statements, in order of execution.
    std::map<std::string, std::string> written_values;  ///< Uncommitted values by key.
};

/// Model of a database instance without sockets: a key-value store with an asynchronously replicated log.
/// Statements are "GET key", "PUT key value" and "ADD key number". GET returns the value, or "" if the key has none.
struct instance_model {
    std::string id;
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;  ///< Highest term accepted.
    std::string followed;  ///< Address ("ip:port") of the primary, from the last `follow` call.
    std::vector<log_entry> log;
    std::map<std::string, std::string> values;
    std::map<std::string, log_entry> by_idempotency_key;     ///< Entries that were written with an idempotency key.
    std::map<std::uint64_t, open_transaction> transactions;  ///< By id of the connection.
    instant last_caught_up;                ///< Time at which the replica last held the whole log of its primary.
    std::size_t executed_statements = 0;   ///< Number of statements that were executed.
    std::map<request_id, int> write_runs;  ///< Number of times that the write of each request ran on this instance as primary.
};

[[nodiscard]] log_position last_position(const instance_model& instance);

/// Runs a call that arrived on `connection` and returns its answer.
endpoint_answer run_call(instance_model& instance, std::uint64_t connection, const endpoint_call& call, instant now);

/// Rolls back the transaction of a closed connection.
void drop_connection(instance_model& instance, std::uint64_t connection);

/// Copies at most `limit` entries that the replica lacks from the primary's log, and removes entries that the primary does not
/// have. Does nothing unless `primary` has the primary role in a term at least as high as the replica's.
void replicate(instance_model& replica, const instance_model& primary, std::size_t limit, instant now);

/// Applies entries of a primary's log, the first of which has the 1-based index `first`, and removes entries of the replica that
/// the primary does not have. Used directly if the primary runs in another process. Does nothing if the replica has become
/// primary or has accepted a higher term. `now` is taken as the time of catch-up if the replica then has `primary_length`
/// entries.
void append_entries(instance_model& replica, term_number primary_term, const std::vector<log_entry>& entries, std::uint64_t first,
                    std::uint64_t primary_length, instant now);

}  // namespace camphorstack::stand_ins
