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

/// A caller's statement on a connection, as far as its answer is told from another one's.
struct sent_statement {
    std::string id;    ///< Chosen by the caller, who may use it again.
    std::string text;  ///< With the shape of a prepared statement.
    bool is_read = false;

    friend bool operator==(const sent_statement&, const sent_statement&) = default;
};

/// Proofs that a connection has delivered, with the statements that they belong to. Holds hashes; the oldest ones are forgotten.
class delivered_proofs {
public:
    /// Number of proofs that are remembered: those of some seconds on a connection that is always in use.
    static constexpr std::size_t limit = 1024;

    void add(const std::string& proof, const sent_statement& answered);
    /// Returns true if the proof was delivered for another statement. A caller may send a read twice with the same id and text;
    /// the proofs may then be equal, and so are the answers.
    [[nodiscard]] bool belongs_to_other(const std::string& proof, const sent_statement& awaited) const;

private:
    struct entry {
        std::size_t proof = 0;
        std::size_t statement = 0;
    };

    std::vector<entry> entries;
    std::size_t oldest = 0;  ///< Replaced next, once `limit` entries are held.
};

/// Rows of a connection's last answer, as hashes.
using row_hashes = std::vector<std::size_t>;

[[nodiscard]] row_hashes hash_rows(const std::vector<std::string>& rows);

/// Returns true if rows may begin with a repetition of the last answer that ended before its outcome.
[[nodiscard]] bool may_continue(const row_hashes& last, const row_hashes& rows);

/// Finds out whether a reply is the answer that a connection waits for. `statement` is the awaited statement of a caller;
/// `in_transaction` tells whether a transaction is open at the endpoint before the answer.
[[nodiscard]] answer_match match_answer(const endpoint_reply& reply, awaited_answer awaited, const sent_statement& statement,
                                        bool in_transaction, const delivered_proofs& delivered);

/// Returns true if a status may be a repetition of one that its connection has delivered before. `newest` is the highest position
/// that the endpoint has answered with on any connection: a status that lacks none of it is as good as a new one.
[[nodiscard]] bool may_be_outdated(const endpoint_reply& status, bool has_delivered_status,
                                   const std::optional<log_position>& newest);

}  // namespace camphorstack
