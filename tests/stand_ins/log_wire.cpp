#include "stand_ins/log_wire.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "camphorstack/support/errors.hpp"

namespace camphorstack::stand_ins {

namespace {

enum column : int { position_term, position_index, request, idempotency_key, statement_count, statement, column_count };

std::string text_of(const PGresult& rows, int row, int column) {
    return {PQgetvalue(&rows, row, column), static_cast<std::size_t>(PQgetlength(&rows, row, column))};
}

std::uint64_t number_of(const PGresult& rows, int row, int column) {
    const auto text = text_of(rows, row, column);
    std::uint64_t value = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), value).ptr != text.data() + text.size() || text.empty()) {
        throw format_error("log reply has a column that is not a number: " + text);
    }
    return value;
}

}  // namespace

log_part read_log_part(const instance_model& primary, std::uint64_t first, std::size_t limit) {
    log_part part{primary.term, primary.log.size(), std::max<std::uint64_t>(first, 1), {}};
    for (auto i = part.first - 1; i < primary.log.size() && part.entries.size() < limit; ++i) {
        part.entries.push_back(primary.log[i]);
    }
    return part;
}

pg_table to_table(const log_part& part) {
    pg_table table{{"position_term", "position_index", "request", "idempotency_key", "statement_count", "statement"}, {}};
    table.rows.push_back({std::to_string(part.term), std::to_string(part.length), "", "", std::to_string(part.first), ""});
    for (const auto& entry : part.entries) {
        const auto count = std::to_string(entry.statements.size());
        const std::vector<std::string> row{std::to_string(entry.position.term),
                                           std::to_string(entry.position.index),
                                           entry.request,
                                           entry.idempotency_key,
                                           count,
                                           ""};
        for (const auto& text : entry.statements) {
            table.rows.push_back(row);
            table.rows.back().back() = text;
        }
        if (entry.statements.empty()) {
            table.rows.push_back(row);
        }
    }
    return table;
}

log_part to_log_part(const PGresult& rows) {
    if (PQnfields(&rows) != column_count || PQntuples(&rows) < 1) {
        throw format_error("log reply has no rows or an unexpected number of columns");
    }
    log_part part{number_of(rows, 0, position_term), number_of(rows, 0, position_index), number_of(rows, 0, statement_count), {}};
    for (int row = 1; row < PQntuples(&rows);) {
        const auto count = number_of(rows, row, statement_count);
        log_entry entry{{number_of(rows, row, position_term), number_of(rows, row, position_index)},
                        text_of(rows, row, request),
                        text_of(rows, row, idempotency_key),
                        {},
                        ""};
        for (std::uint64_t i = 0; i < count; ++i) {
            if (row >= PQntuples(&rows)) {
                throw format_error("log reply ends inside an entry");
            }
            entry.statements.push_back(text_of(rows, row++, statement));
        }
        row += count == 0 ? 1 : 0;
        part.entries.push_back(std::move(entry));
    }
    return part;
}

}  // namespace camphorstack::stand_ins
