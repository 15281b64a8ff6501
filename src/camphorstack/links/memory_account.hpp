#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorstack {

/// Parts of a process's memory that callers can make grow.
enum class memory_part : std::uint8_t {
    input,       ///< Messages that callers have sent and that are not handed to the host yet.
    statements,  ///< Statements under way, with their copies on the way to an endpoint and back.
    output,      ///< Answers that callers have not taken yet.
    sessions,    ///< Session values and prepared shapes.
};
constexpr std::size_t memory_part_count = 4;

/// Memory that a process needs without any caller: code, libraries, the document, links and queues.
constexpr std::size_t memory_without_callers = std::size_t{32} * 1024 * 1024;
/// A lower limit would leave callers less than one message of legal size in each part.
constexpr std::size_t least_memory_limit = std::size_t{48} * 1024 * 1024;
/// Largest number of copies of a statement's text that exist at a time, from the caller's input to the endpoint's connection.
constexpr std::size_t statement_copies = 8;

/// Bytes in use of each part.
struct memory_account {
    std::size_t part_limit = 0;  ///< Bytes that each part may use.
    std::array<std::size_t, memory_part_count> used{};

    friend bool operator==(const memory_account&, const memory_account&) = default;
};

/// Returns the bytes that each part may use in a process that may use `memory_limit` bytes.
[[nodiscard]] std::size_t memory_part_limit(std::size_t memory_limit);

/// Returns the bytes that a part uses.
[[nodiscard]] std::size_t used_memory(const memory_account& account, memory_part part);

/// Returns true if the part may use `bytes` more. A part that is not used takes any one charge, so that a single message is
/// always served.
[[nodiscard]] bool has_room(const memory_account& account, memory_part part, std::size_t bytes);

/// Replaces a charge of `before` bytes by one of `after` bytes.
void change_charge(memory_account& account, memory_part part, std::size_t before, std::size_t after);

}  // namespace camphorstack
