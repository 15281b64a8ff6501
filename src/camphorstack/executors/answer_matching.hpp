#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/executors/endpoint_connection.hpp"

namespace camphorstack {

/// The endpoint's answer that a connection waits for. An answer does not name its statement: it belongs to the oldest statement
/// without one, unless it repeats an earlier answer.
enum class awaited_answer : std::uint8_t {
    none,
    setup,      ///< To a session value, a prepared statement or a reset.
    begin,      ///< To the host's own BEGIN.
    rollback,   ///< To the host's own ROLLBACK.
    statement,  ///< To a caller's statement.
    status,     ///< To a status request or a demotion.
};

[[nodiscard]] const char* to_string(awaited_answer awaited);

enum class answer_match : std::uint8_t {
    awaited,     ///< The answer to the oldest statement without one.
    repeated,    ///< Repeats an earlier answer of the connection. Another statement's answer is still to come.
    unexpected,  ///< Neither of both.
};

[[nodiscard]] const char* to_string(answer_match match);

/// Proofs that a connection has delivered, with the statements that they belong to. Holds hashes; the oldest ones are forgotten.
class delivered_proofs {
public:
    /// Number of proofs that are remembered: those of some seconds on a connection that is always in use.
    static constexpr std::size_t limit = 1024;

    void add(const std::string& proof, const std::string& statement_id);
    /// Returns true if the proof was delivered for another statement. A caller may give several statements the same id; their
    /// proofs may then be equal.
    [[nodiscard]] bool belongs_to_other(const std::string& proof, const std::string& statement_id) const;

private:
    struct entry {
        std::size_t proof = 0;
        std::size_t statement_id = 0;
    };

    std::vector<entry> entries;
    std::size_t oldest = 0;  ///< Replaced next, once `limit` entries are held.
};

/// Finds out whether a reply is the answer that a connection waits for. `statement_id` is the id of the awaited statement and
/// `in_transaction` tells whether a transaction is open at the endpoint before that answer.
[[nodiscard]] answer_match match_answer(const endpoint_reply& reply, awaited_answer awaited, const std::string& statement_id,
                                        bool in_transaction, const delivered_proofs& delivered);

/// Returns true if a status may be a repetition of one that its connection has delivered before. `newest` is the highest position
/// that the endpoint has answered with on any connection: a status that lacks none of it is as good as a new one.
[[nodiscard]] bool may_be_outdated(const endpoint_reply& status, bool has_delivered_status,
                                   const std::optional<log_position>& newest);

}  // namespace camphorstack
