#include "soak/guarantee_checker.hpp"

#include <algorithm>

#include "soak/odd_text.hpp"

namespace camphorstack::soak {

namespace {

/// Returns true for the codes that guarantee that nothing of the statement, or of its transaction, is kept.
bool guarantees_no_effect(result_code code) {
    return code == result_code::busy || code == result_code::aborted || code == result_code::lagging ||
           code == result_code::read_only || code == result_code::misrouted || code == result_code::too_many;
}

/// Returns true if an instance that answers with the code has run the statement.
bool has_run(result_code code) {
    return code == result_code::none || code == result_code::failed || code == result_code::timeout;
}

bool is_statement(const endpoint_statement& requested) {
    return requested.command == endpoint_command::statement || requested.command == endpoint_command::execute;
}

/// Returns true for the kinds that only an instance can answer.
bool needs_proof(sent_kind kind) {
    return kind == sent_kind::read || kind == sent_kind::write || kind == sent_kind::commit;
}

std::string text_of(const endpoint_statement& requested) {
    switch (requested.command) {
        case endpoint_command::set_value:
            return "SET " + requested.name + " " + requested.text;
        case endpoint_command::prepare:
            return "PREPARE " + requested.name + (requested.writes ? " WRITE " : " READ ") + requested.text;
        default:
            return requested.text;
    }
}

std::string to_text(const received_answer& answer) {
    std::string text;
    for (const auto& row : answer.rows) {
        text += "row \"" + printable(row) + "\" ";
    }
    return text + "proof \"" + printable(answer.proof) + "\"";
}

}  // namespace

void guarantee_checker::add_violation(const std::string& id, const std::string& what) {
    this->found_violations.push_back(printable(id) + ": " + what);
}

void guarantee_checker::record_sent(const sent_statement& sent) {
    this->statements[sent.id].sent = sent;
    if (!sent.transaction.empty()) {
        auto& transaction = this->transactions[sent.transaction];
        transaction.writes = transaction.writes || sent.kind == sent_kind::write;
    }
}

void guarantee_checker::record_answer(const std::string& id, const received_answer& answer) {
    this->observe();
    auto& known = this->statements.at(id);
    known.reported_outcome = answer.code;
    if (!known.sent.transaction.empty() && guarantees_no_effect(answer.code)) {
        this->transactions.at(known.sent.transaction).is_refused = true;
    }
    this->check_refusal(known);
    if (answer.code == result_code::no_statement && known.sent.prepared) {
        this->add_violation(id, "was not known, but its preparing had been acknowledged");
    }
    if (answer.code != result_code::none) {
        return;
    }
    if (!needs_proof(known.sent.kind)) {
        if (answer != received_answer{result_code::none, "-", {}}) {
            this->add_violation(id, "got " + to_text(answer) + " for a statement that has no rows and needs no proof");
        }
        return;
    }
    const bool is_single_write = known.sent.kind == sent_kind::write && known.sent.transaction.empty();
    const bool commits_writes = known.sent.kind == sent_kind::commit && this->transactions.at(known.sent.transaction).writes;
    this->acknowledged_writes += is_single_write || commits_writes ? 1 : 0;
    if (known.runs == 0) {
        this->add_violation(id, "was acknowledged, but no instance had run it");
    } else if ((is_single_write || commits_writes) && known.at_former_primary) {
        this->add_violation(id, "was acknowledged, but it ran at a former primary");
    }
    if (known.runs > 0 && std::ranges::find(known.given, answer) == known.given.end()) {
        this->add_violation(id, "got " + to_text(answer) + ", but an instance gave " +
                                    (known.given.empty() ? "no success" : to_text(known.given.back())));
    }
}

void guarantee_checker::check_refusal(const statement_record& known) {
    const auto& sent = known.sent;
    if (sent.transaction.empty()) {
        if (sent.kind == sent_kind::write && known.reported_outcome && guarantees_no_effect(*known.reported_outcome) &&
            known.runs > 0) {
            this->add_violation(sent.id, "was refused, but an instance ran it");
        }
        return;
    }
    const auto& transaction = this->transactions.at(sent.transaction);
    if (transaction.is_refused && transaction.is_committed && transaction.writes) {
        this->add_violation(sent.id, "was refused, but an instance committed its transaction");
    }
}

void guarantee_checker::record_read_value(const std::string& id, int value, int min_expected, int last_sent) {
    if (value < min_expected) {
        this->add_violation(
            id, "read " + std::to_string(value) + " after " + std::to_string(min_expected) + " had been acknowledged");
    }
    if (value > last_sent) {
        this->add_violation(id, "read " + std::to_string(value) + ", which no caller had written");
    }
}

void guarantee_checker::record_state(const std::string& id, char state, char expected) {
    if (state != expected) {
        this->add_violation(id, std::string("left the session in state ") + state + " in place of " + expected);
    }
}

void guarantee_checker::record_unrequested(const std::string& caller, std::string_view message) {
    this->add_violation(caller, "received \"" + printable(message) + "\" while none of its statements was open");
}

void guarantee_checker::observe() {
    for (; this->processed_answers < this->model.answers.size(); ++this->processed_answers) {
        this->check_run(this->model.answers[this->processed_answers]);
    }
}

void guarantee_checker::check_run(const session_tests::observed_answer& observed) {
    const auto& requested = observed.requested;
    if (requested.id.empty() && !is_statement(requested)) {
        return;  // A statement of the host itself.
    }
    const auto found = this->statements.find(requested.id);
    if (found == this->statements.end()) {
        this->add_violation(requested.id, "ran \"" + printable(text_of(requested)) + "\", but no caller had sent it");
        return;
    }
    auto& known = found->second;
    this->check_text(observed, known);
    if (!has_run(observed.reply.code) || !is_statement(requested)) {
        return;
    }
    if (observed.reply.code == result_code::none) {
        known.given.push_back({result_code::none, observed.reply.proof, observed.reply.rows});
    }
    if (observed.values != known.sent.values) {
        this->add_violation(requested.id, "ran on a connection with other session values than its caller's");
    }
    this->check_transaction(observed, known);
    known.at_former_primary =
        known.at_former_primary || this->model.instances.at(observed.endpoint).term < this->model.primary().term;
    if (++known.runs > 1 && known.sent.kind != sent_kind::read) {
        this->add_violation(requested.id, "ran twice");
    }
    this->check_refusal(known);
}

void guarantee_checker::check_text(const session_tests::observed_answer& observed, const statement_record& known) {
    const auto& requested = observed.requested;
    const auto& sent = known.sent;
    const bool executes = requested.command == endpoint_command::execute;
    const auto& expected = sent.prepared ? sent.argument : sent.text;
    if (executes != sent.prepared.has_value() || text_of(requested) != expected) {
        this->add_violation(requested.id, "ran \"" + printable(text_of(requested)) + "\", but its caller had sent \"" +
                                              printable(expected) + "\"");
    }
    if (executes && observed.prepared && observed.prepared != sent.prepared) {
        this->add_violation(requested.id, "ran the shape \"" + printable(observed.prepared->shape) +
                                              "\", but its caller had prepared \"" + printable(sent.prepared->shape) + "\"");
    }
    if (observed.workspace != sent.workspace) {
        this->add_violation(requested.id, "ran for the workspace " + observed.workspace + " in place of " + sent.workspace);
    }
}

void guarantee_checker::check_transaction(const session_tests::observed_answer& observed, const statement_record& known) {
    const auto& id = known.sent.id;
    const auto& expected = known.sent.transaction;
    if (expected.empty() || observed.transaction == 0) {
        if (observed.transaction != 0) {
            this->add_violation(id, "ran inside a transaction, but its caller had sent it outside of one");
        } else if (!expected.empty()) {
            this->add_violation(id, "ran outside its caller's transaction: \"" + printable(known.sent.text) + "\"");
        }
        return;
    }
    auto& transaction = this->transactions.at(expected);
    if (transaction.at_instance == 0) {
        transaction.at_instance = observed.transaction;
    }
    const auto& owner = this->transaction_at_instance.emplace(observed.transaction, expected).first->second;
    if (owner != expected) {
        this->add_violation(id, "ran inside the transaction " + printable(owner) + " in place of " + printable(expected));
    } else if (transaction.at_instance != observed.transaction) {
        this->add_violation(id, "ran in another transaction of the instance than the statements before it");
    }
    if (known.sent.kind == sent_kind::commit) {
        transaction.is_committed = true;
        ++this->transactions_committed;
    }
}

}  // namespace camphorstack::soak
