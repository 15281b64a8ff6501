#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "camphorstack/sessions/result_code.hpp"
#include "session_fleet/database_model.hpp"

namespace camphorstack::soak {

enum class sent_kind : std::uint8_t { read, write, begin, commit, rollback, set_value, prepare };

/// A statement as its caller sent it, and what the caller's session was at that moment.
struct sent_statement {
    sent_kind kind = sent_kind::read;
    std::string id;
    std::string text;                                           ///< All after the id.
    std::optional<session_tests::prepared_statement> prepared;  ///< For an EXECUTE: what the session's name stands for.
    std::string argument;                                       ///< For an EXECUTE: all after the name.
    std::string workspace;
    std::map<std::string, std::string> values;  ///< Session values that were acknowledged.
    std::string transaction;                    ///< Id of the transaction's BEGIN; empty outside a transaction.
};

/// The answer to a statement as its caller received it.
struct received_answer {
    result_code code = result_code::none;
    std::string proof;
    std::vector<std::string> rows;

    friend bool operator==(const received_answer&, const received_answer&) = default;
};

/// What the callers and the instances observed of a statement.
struct statement_record {
    sent_statement sent;
    int runs = 0;
    bool at_former_primary = false;               ///< It ran at an instance that was no longer the primary.
    std::optional<result_code> reported_outcome;  ///< Outcome that the caller received.
    std::vector<received_answer> given;           ///< Successes that instances gave for its id.
};

/// What the callers and the instances observed of a transaction.
struct transaction_record {
    std::uint64_t at_instance = 0;  ///< Number of the instance's transaction in which its statements ran; 0 if none has run.
    bool writes = false;
    bool is_committed = false;
    bool is_refused = false;  ///< The caller was promised that nothing is kept.
};

/// Checks the guarantees to callers by what the callers sent and received and what the instances ran and answered, without any
/// data from the hosts.
class guarantee_checker {
public:
    explicit guarantee_checker(session_tests::database_model& observed) : model(observed) { this->model.records_answers = true; }

    void record_sent(const sent_statement& sent);
    /// Records the answer to a statement that its caller received.
    void record_answer(const std::string& id, const received_answer& answer);
    /// Records the value that a read returned. `min_expected` is the least value that the read had to return, `last_sent` the
    /// last value that was sent to the item.
    void record_read_value(const std::string& id, int value, int min_expected, int last_sent);
    /// Records the state of the session after a success, 'I' or 'T', and the one that follows from what the caller has sent.
    void record_state(const std::string& id, char state, char expected);
    /// Records a message that a caller received while none of its statements was open.
    void record_unrequested(const std::string& caller, std::string_view message);
    /// Checks the statements that the instances ran since the last call. Must be called before each promotion and in each tick.
    void observe();

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found_violations; }
    /// Number of transactions that instances committed.
    [[nodiscard]] std::size_t committed_transactions() const { return this->transactions_committed; }
    [[nodiscard]] std::size_t acknowledged() const { return this->acknowledged_writes; }

private:
    void add_violation(const std::string& id, const std::string& what);
    void check_run(const session_tests::observed_answer& observed);
    /// Checks what was sent against what ran, byte for byte.
    void check_text(const session_tests::observed_answer& observed, const statement_record& known);
    void check_transaction(const session_tests::observed_answer& observed, const statement_record& known);
    void check_refusal(const statement_record& known);

    session_tests::database_model& model;
    std::map<std::string, statement_record> statements;
    std::map<std::string, transaction_record> transactions;        ///< By the id of their BEGIN.
    std::map<std::uint64_t, std::string> transaction_at_instance;  ///< Id of the BEGIN, by the number at the instance.
    std::size_t processed_answers = 0;
    std::size_t acknowledged_writes = 0;
    std::size_t transactions_committed = 0;
    std::vector<std::string> found_violations;
};

}  // namespace camphorstack::soak
