#pragma once

#include <cstddef>

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// This host's connections to one instance, counted by their state.
struct instance_load {
    std::size_t connections = 0;  ///< Open or opening, the control connection included.
    std::size_t statements = 0;   ///< Connections for statements, open or opening.
    std::size_t opening = 0;      ///< Connections for statements that are not yet connected.
    std::size_t running = 0;      ///< Statements that were sent and are not answered.
    std::size_t pinned = 0;       ///< Connections that belong to a transaction.
    std::size_t unvalidated = 0;  ///< Idle connections that need validation before use or are being validated.
    connection_id idle = 0;       ///< The most recently used idle connection that needs no validation; 0 if none.
};

[[nodiscard]] instance_load connection_load(const group_state& state, const endpoint_id& target, instant now);

/// Maximum number of connections from this host to the instance: half of what the instance accepts, as an incoming owner needs
/// the other half, less one for the standby. At least two: the control connection and one for statements.
[[nodiscard]] std::size_t connection_limit(const group_instance& instance);

/// Maximum number of statements that run at the instance at once. Twice the number of slots keeps every slot busy while answers
/// are in transit.
[[nodiscard]] std::size_t statement_limit(const group_instance& instance);

/// Maximum number of open transactions at the instance. Low enough that writes outside of transactions find a connection.
[[nodiscard]] std::size_t transaction_limit(const group_instance& instance);

/// True if another connection for statements may be opened now. One connection of the limit is kept for the control
/// connection.
[[nodiscard]] bool may_open(const group_instance& instance, std::size_t open_statements, instant now);

void open_connection_to(group_step& step, group_instance& target, bool control);

/// Closes the connection and handles its call and transaction as lost. Does nothing if there is no such connection.
void close_connection_by_id(group_step& step, connection_id id);

/// Removes a connection that is already closed and handles its call and transaction as lost.
void remove_connection(group_step& step, connection_id id);

/// Sends a call on an idle connection.
void start_call(group_step& step, group_connection& connection, endpoint_call call, call_purpose purpose, millis timeout);

/// Sends a status call on at most `limit` idle connections to the target that were silent for longer than `idle_proof_after`.
void validate_idle_connections(group_step& step, const endpoint_id& target, std::size_t limit);

/// Opens, validates and closes idle connections as the host's duty requires.
void maintain_pool(group_step& step);

}  // namespace camphorstack
