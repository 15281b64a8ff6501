#pragma once

#include <libpq-fe.h>

#include <cstdint>
#include <vector>

#include "stand_ins/instance_model.hpp"
#include "stand_ins/pg_protocol.hpp"

namespace camphorstack::stand_ins {

/// A part of a primary's log.
struct log_part {
    term_number term = 0;      ///< Of the primary.
    std::uint64_t length = 0;  ///< Of the whole log.
    std::uint64_t first = 0;   ///< Index of the first entry, 1-based.
    std::vector<log_entry> entries;

    friend bool operator==(const log_part&, const log_part&) = default;
};

/// The part from index `first`, at most `limit` entries.
[[nodiscard]] log_part read_log_part(const instance_model& primary, std::uint64_t first, std::size_t limit);

/// A heading row and then one row per statement; an entry without statements is one row with `statement_count` 0.
[[nodiscard]] pg_table to_table(const log_part& part);

/// Throws format_error if the rows are not what `to_table` writes.
[[nodiscard]] log_part to_log_part(const PGresult& rows);

}  // namespace camphorstack::stand_ins
