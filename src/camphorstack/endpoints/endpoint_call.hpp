#pragma once

#include <cstdint>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Operations that a database instance must support. Decisions about a group use nothing else from the instance.
enum class endpoint_operation : std::uint8_t {
    status,    ///< Report role, term, position and replication age.
    execute,   ///< Run one statement, outside of a transaction or in the connection's transaction.
    begin,     ///< Start a transaction on this connection.
    commit,    ///< Commit the connection's transaction.
    rollback,  ///< Roll the connection's transaction back.
    fence,     ///< Refuse anything of a lower term from now on.
    promote,   ///< Become the primary of the term.
    follow,    ///< Replicate from the primary at `statement` ("ip:port") in the term, dropping any entries it does not have.
};

enum class endpoint_role : std::uint8_t { replica, primary };

struct endpoint_call {
    call_id id = 0;
    endpoint_operation operation = endpoint_operation::status;
    /// Set for writes, fence, promote and follow; the instance refuses a call whose term is lower than its own.
    term_number term = 0;
    bool write = false;
    request_id request;           ///< Echoed in the answer, so that an answer to another call is detected.
    std::string idempotency_key;  ///< When not empty, the instance returns the first outcome for the same key.
    std::string statement;

    friend bool operator==(const endpoint_call&, const endpoint_call&) = default;
};

enum class endpoint_error : std::uint8_t {
    none,
    refused_term,    ///< The call's term is lower than the instance's, or a write was sent to a replica. Nothing ran.
    refused_busy,    ///< The instance has too many connections or statements. Nothing ran.
    bad_statement,   ///< The database refused the statement. Nothing ran.
    no_transaction,  ///< The connection has no transaction (it was lost). Nothing ran.
};

/// Answer to a call. Every answer carries the instance's status.
struct endpoint_answer {
    call_id id = 0;
    request_id request;
    endpoint_error failure = endpoint_error::none;
    std::string body;  ///< The statement's result, or the text of the error.
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;    ///< Highest term that the instance has accepted (fence, promote or follow).
    log_position position;   ///< Position of the last log entry; for a write, of the write itself.
    millis replication_age;  ///< How far the instance's data is behind the primary's; 0 at the primary.

    friend bool operator==(const endpoint_answer&, const endpoint_answer&) = default;
};

}  // namespace camphorstack
