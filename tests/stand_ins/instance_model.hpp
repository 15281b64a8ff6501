#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/endpoints/endpoint_call.hpp"

namespace camphorstack::stand_ins {

/// One replicated change: the statements of a transaction, or a single write.
struct log_entry {
    log_position position;
    request_id request;
    std::string idempotency_key;
    std::vector<std::string> statements;
    std::string result;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// A transaction that is open on one connection.
struct open_transaction {
    term_number term = 0;
    std::vector<std::string> writes;
    std::map<std::string, std::string> written_values;
};

/// A database instance without its sockets: a key-value store with an asynchronously replicated log.
/// Statements: "GET key", "PUT key value", "ADD key number"; reads answer the value, "" if there is none.
struct instance_model {
    std::string id;
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;  ///< Highest term accepted.
    std::string followed;  ///< "ip:port" given by the last follow.
    std::vector<log_entry> log;
    std::map<std::string, std::string> values;
    std::map<std::string, log_entry> by_idempotency_key;
    std::map<std::uint64_t, open_transaction> transactions;  ///< By connection.
    instant last_caught_up;                                  ///< When a replica last held all of the primary's log.
    std::size_t executed_statements = 0;                     ///< Statements run, for the observer.
    std::map<request_id, int> write_runs;                    ///< How often each request's write ran here as a primary.
};

[[nodiscard]] log_position last_position(const instance_model& instance);

/// Runs one call that arrived on a connection.
endpoint_answer run_call(instance_model& instance, std::uint64_t connection, const endpoint_call& call, instant now);

/// A closed connection rolls its transaction back.
void drop_connection(instance_model& instance, std::uint64_t connection);

/// Copies what the replica lacks from the primary, at most `limit` entries, and cuts off what the primary does not have.
/// Does nothing unless `primary` is primary in a term that is at least the replica's.
void replicate(instance_model& replica, const instance_model& primary, std::size_t limit, instant now);

/// For a replica in another process: takes over entries of a primary's log that start at index `first` (1-based).
void append_entries(instance_model& replica, term_number primary_term, const std::vector<log_entry>& entries, std::uint64_t first,
                    std::uint64_t primary_length, instant now);

}  // namespace camphorstack::stand_ins
