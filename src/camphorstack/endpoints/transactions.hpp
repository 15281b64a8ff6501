#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// True for statement, commit and rollback, which run on their transaction's connection.
[[nodiscard]] bool is_in_transaction(request_kind kind);

[[nodiscard]] std::size_t count_transactions(const group_state& state, const endpoint_id& target);

/// Writes a request's call to an idle connection.
void send_request(group_step& step, group_connection& connection, endpoint_call call, waiting_request item);

/// Hands a statement, commit or rollback to its transaction, or refuses it.
void submit_in_transaction(group_step& step, waiting_request item);

/// Pins the connection that answered a begin.
void open_transaction(group_step& step, connection_id connection, waiting_request item, const call_in_flight& call,
                      const endpoint_answer& answer);

/// Sends the next statement of each transaction whose connection is free.
void send_transaction_statements(group_step& step);

/// Where and in which term a statement ran.
struct statement_origin {
    connection_id connection = 0;  ///< May be closed already.
    endpoint_id target;
    term_number term = 0;
};

/// Handles the answer to a statement, commit or rollback.
void handle_transaction_answer(group_step& step, const statement_origin& origin, waiting_request item,
                               const endpoint_answer& answer);

/// Rolls back transactions that outlived their limit and refuses statements whose deadline passed.
void expire_transactions(group_step& step);

}  // namespace camphorstack
