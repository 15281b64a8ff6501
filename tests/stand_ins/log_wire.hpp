#pragma once

#include <libpq-fe.h>

#include <cstdint>
#include <vector>

#include "stand_ins/instance_model.hpp"
#include "stand_ins/pg_protocol.hpp"

namespace camphorstack::stand_ins {

/// Consecutive entries of a primary's log.
struct log_part {
    term_number term = 0;      ///< Term of the primary.
    std::uint64_t length = 0;  ///< Number of entries in the whole log.
    std::uint64_t first = 0;   ///< 1-based index of the first entry in this part.
    std::vector<log_entry> entries;

    friend bool operator==(const log_part&, const log_part&) = default;
};

/// Returns at most `limit` entries from index `first` on; index 0 counts as 1.
[[nodiscard]] log_part read_log_part(const instance_model& primary, std::uint64_t first, std::size_t limit);

/// Encodes a log part as a row with its term, length and first index, and then one row per statement. An entry without
/// statements is one row with `statement_count` 0.
[[nodiscard]] pg_table to_table(const log_part& part);

/// Decodes a log part. Throws format_error if the rows do not have the format that `to_table` writes.
[[nodiscard]] log_part to_log_part(const PGresult& rows);

}  // namespace camphorstack::stand_ins
