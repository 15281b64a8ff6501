#pragma once

#include <libpq-fe.h>

#include <functional>
#include <string>

#include "camphorstack/endpoints/endpoint_call.hpp"

namespace camphorstack {

/// Turns text into an SQL literal.
using sql_literal = std::function<std::string(const std::string&)>;

/// Name of the operation's function in the schema `camphorstack`.
[[nodiscard]] const char* to_string(endpoint_operation operation);

/// The request id that the query of a call carries: the call's own, or one made from the call's id if it has none.
[[nodiscard]] request_id wire_request_id(const endpoint_call& call);

/// The query that runs a call, as docs/endpoints.md describes it.
[[nodiscard]] std::string to_query(const endpoint_call& call, const sql_literal& literal);

/// Reads the only row of a call's answer. Throws format_error for any other shape or for the answer of another request.
[[nodiscard]] endpoint_answer to_answer(const PGresult& rows, const endpoint_call& call);

}  // namespace camphorstack
