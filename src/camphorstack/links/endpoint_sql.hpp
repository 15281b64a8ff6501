#pragma once

#include <libpq-fe.h>

#include <functional>
#include <string>

#include "camphorstack/endpoints/endpoint_call.hpp"

namespace camphorstack {

/// Quotes and escapes a text as an SQL literal.
using sql_literal = std::function<std::string(const std::string&)>;

/// Name of the SQL function in the schema `camphorstack` that carries out the operation.
[[nodiscard]] const char* to_string(endpoint_operation operation);

/// Request id that is sent with a call: the call's own request id, or one derived from the call's id if it has none.
[[nodiscard]] request_id wire_request_id(const endpoint_call& call);

/// SQL query that runs a call; docs/endpoints.md describes its form.
[[nodiscard]] std::string to_query(const endpoint_call& call, const sql_literal& literal);

/// Reads the single row of a call's answer. Throws format_error if the result has other rows or columns, or if it answers another
/// request.
[[nodiscard]] endpoint_answer to_answer(const PGresult& rows, const endpoint_call& call);

}  // namespace camphorstack
