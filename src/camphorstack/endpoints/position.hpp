#pragma once

#include <compare>
#include <cstdint>

namespace camphorstack {

/// Number of the term in which an instance is primary of a database. The platform hands out each number once.
using term_number = std::uint64_t;

/// A position in a database's replication log: the term in which the entry was written and its index.
/// An instance whose last entry is at or past a position holds every acknowledged write up to it: within a term
/// there is one log, and the log of a later term contains all acknowledged writes of the earlier ones.
struct log_position {
    term_number term = 0;
    std::uint64_t index = 0;

    // clang-tidy 14 takes the 0 in the comparisons that follow from a defaulted operator for a null pointer.
    friend constexpr auto operator<=>(const log_position&, const log_position&) = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace camphorstack
