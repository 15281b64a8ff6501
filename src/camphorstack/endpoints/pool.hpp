#pragma once

#include <cstddef>

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// What one instance's connections carry at the moment.
struct instance_load {
    std::size_t connections = 0;  ///< Open or opening, the control connection included.
    std::size_t statements = 0;   ///< Of these, without the control connection.
    std::size_t opening = 0;      ///< Of these, not yet connected.
    std::size_t running = 0;      ///< Statements sent and not answered.
    std::size_t pinned = 0;       ///< Connections that belong to a transaction.
    std::size_t unvalidated = 0;  ///< Idle, but silent for too long to be used without a proof, or being proved.
    connection_id idle = 0;       ///< The idle connection that was used last and needs no proof; 0 if none.
};

[[nodiscard]] instance_load connection_load(const group_state& state, const endpoint_id& target, instant now);

/// Connections that this host may hold to the instance: half of what it accepts, as an incoming owner needs the other half,
/// without one for the standby. At least a control connection and one for statements.
[[nodiscard]] std::size_t connection_limit(const group_instance& instance);

/// Statements that may run at the instance at once. Twice the slots keeps every slot busy while answers travel.
[[nodiscard]] std::size_t statement_limit(const group_instance& instance);

/// Transactions that may be open at the instance, so that plain writes always find a connection.
[[nodiscard]] std::size_t transaction_limit(const group_instance& instance);

/// True if another connection for statements may be opened now. One connection of the limit is kept for control.
[[nodiscard]] bool may_open(const group_instance& instance, std::size_t open_statements, instant now);

void open_connection_to(group_step& step, group_instance& target, bool control);

/// Closes the connection; whatever it carried is handled as lost.
void close_connection_by_id(group_step& step, connection_id id);

/// Handles the loss of a connection that is already closed.
void remove_connection(group_step& step, connection_id id);

/// Writes a call to an idle connection.
void start_call(group_step& step, group_connection& connection, endpoint_call call, call_purpose purpose, millis timeout);

/// Proves idle connections of the target that were silent for too long.
void validate_idle_connections(group_step& step, const endpoint_id& target, std::size_t limit);

/// Opens, proves and closes connections as the host's duty and the queue need.
void maintain_pool(group_step& step);

}  // namespace camphorstack
