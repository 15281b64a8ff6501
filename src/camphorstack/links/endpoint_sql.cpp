#include "camphorstack/links/endpoint_sql.hpp"

#include <array>
#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

constexpr std::array<const char*, 8> columns{"request", "failure",       "body",           "role",
                                             "term",    "position_term", "position_index", "replication_age_ms"};

constexpr std::array<std::pair<std::string_view, endpoint_error>, 5> errors_by_name{{
    {"none", endpoint_error::none},
    {"refused_term", endpoint_error::refused_term},
    {"refused_busy", endpoint_error::refused_busy},
    {"bad_statement", endpoint_error::bad_statement},
    {"no_transaction", endpoint_error::no_transaction},
}};

constexpr std::array<std::pair<std::string_view, endpoint_role>, 2> roles_by_name{{
    {"replica", endpoint_role::replica},
    {"primary", endpoint_role::primary},
}};

std::string_view column_text(const PGresult& rows, int column) {
    if (PQgetisnull(&rows, 0, column) != 0) {
        throw format_error(std::string("no value in column ") + columns.at(static_cast<std::size_t>(column)));
    }
    return {PQgetvalue(&rows, 0, column), static_cast<std::size_t>(PQgetlength(&rows, 0, column))};
}

template <typename Names>
auto value_by_name(const Names& names, std::string_view text) {
    for (const auto& [name, value] : names) {
        if (name == text) {
            return value;
        }
    }
    throw format_error("unknown name in an endpoint's answer: " + std::string(text));
}

template <typename Number>
Number column_number(const PGresult& rows, int column) {
    const auto text = column_text(rows, column);
    Number value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size()) {
        throw format_error("not a number in an endpoint's answer: " + std::string(text));
    }
    return value;
}

void check_shape(const PGresult& rows) {
    if (PQntuples(&rows) != 1 || PQnfields(&rows) != static_cast<int>(columns.size())) {
        throw format_error("an endpoint's answer must be one row of " + std::to_string(columns.size()) + " columns");
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        if (std::strcmp(PQfname(&rows, static_cast<int>(i)), columns.at(i)) != 0) {
            throw format_error(std::string("an endpoint's answer lacks column ") + columns.at(i));
        }
    }
}

}  // namespace

const char* to_string(endpoint_operation operation) {
    switch (operation) {
        case endpoint_operation::status:
            return "status";
        case endpoint_operation::execute:
            return "execute";
        case endpoint_operation::begin:
            return "begin";
        case endpoint_operation::commit:
            return "commit";
        case endpoint_operation::rollback:
            return "rollback";
        case endpoint_operation::fence:
            return "fence";
        case endpoint_operation::promote:
            return "promote";
        case endpoint_operation::follow:
            return "follow";
    }
    return "status";
}

request_id wire_request_id(const endpoint_call& call) {
    return call.request.empty() ? "call-" + std::to_string(call.id) : call.request;
}

std::string to_query(const endpoint_call& call, const sql_literal& literal) {
    std::string query = std::string("SELECT * FROM camphorstack.") + to_string(call.operation) + "(";
    query += literal(std::to_string(call.term)) + ',' + literal(call.write ? "true" : "false") + ',';
    query += literal(wire_request_id(call)) + ',' + literal(call.idempotency_key) + ',' + literal(call.statement) + ')';
    return query;
}

endpoint_answer to_answer(const PGresult& rows, const endpoint_call& call) {
    check_shape(rows);
    if (column_text(rows, 0) != wire_request_id(call)) {
        throw format_error("an endpoint answered another request");
    }
    endpoint_answer answer;
    answer.id = call.id;
    answer.request = call.request;
    answer.failure = value_by_name(errors_by_name, column_text(rows, 1));
    answer.body = std::string(column_text(rows, 2));
    answer.role = value_by_name(roles_by_name, column_text(rows, 3));
    answer.term = column_number<term_number>(rows, 4);
    answer.position = {column_number<term_number>(rows, 5), column_number<std::uint64_t>(rows, 6)};
    answer.replication_age = millis{column_number<std::int64_t>(rows, 7)};
    return answer;
}

}  // namespace camphorstack
