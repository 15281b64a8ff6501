#include "camphorstack/executors/answer_matching.hpp"

#include <algorithm>
#include <functional>

namespace camphorstack {

namespace {

bool is_confirmation(const endpoint_reply& reply, session_state expected) {
    return !reply.status && reply.rows.empty() && reply.state == expected;
}

/// Returns true if a success without a proof may answer what is awaited. Callers' statements always get a proof.
bool fits_without_proof(const endpoint_reply& reply, awaited_answer awaited, bool in_transaction) {
    switch (awaited) {
        case awaited_answer::setup:
            return is_confirmation(reply, in_transaction ? session_state::in_transaction : session_state::idle);
        case awaited_answer::begin:
            return is_confirmation(reply, session_state::in_transaction);
        case awaited_answer::rollback:
            return is_confirmation(reply, session_state::idle);
        case awaited_answer::status:
            return reply.status.has_value();
        case awaited_answer::none:
        case awaited_answer::statement:
            return false;
    }
    return false;
}

std::size_t hash_of(const sent_statement& statement) {
    // An id holds no blank.
    return std::hash<std::string>()(statement.id + (statement.is_read ? " r " : " w ") + statement.text);
}

}  // namespace

const char* to_string(awaited_answer awaited) {
    switch (awaited) {
        case awaited_answer::none:
            return "none";
        case awaited_answer::setup:
            return "setup";
        case awaited_answer::begin:
            return "begin";
        case awaited_answer::rollback:
            return "rollback";
        case awaited_answer::statement:
            return "statement";
        case awaited_answer::status:
            return "status";
    }
    return "?";
}

const char* to_string(answer_match match) {
    switch (match) {
        case answer_match::awaited:
            return "awaited";
        case answer_match::repeated:
            return "repeated";
        case answer_match::unexpected:
            return "unexpected";
    }
    return "?";
}

void delivered_proofs::add(const std::string& proof, const sent_statement& answered) {
    const entry added{std::hash<std::string>()(proof), hash_of(answered)};
    if (this->entries.size() < limit) {
        this->entries.push_back(added);
        return;
    }
    this->entries[this->oldest] = added;
    this->oldest = (this->oldest + 1) % limit;
}

bool delivered_proofs::belongs_to_other(const std::string& proof, const sent_statement& awaited) const {
    const auto found = std::ranges::find(this->entries, std::hash<std::string>()(proof), &entry::proof);
    return found != this->entries.end() && (!awaited.is_read || found->statement != hash_of(awaited));
}

row_hashes hash_rows(const std::vector<std::string>& rows) {
    row_hashes hashes(rows.size());
    std::ranges::transform(rows, hashes.begin(), std::hash<std::string>());
    return hashes;
}

bool may_continue(const row_hashes& last, const row_hashes& rows) {
    return !last.empty() && rows.size() > last.size() && std::equal(last.begin(), last.end(), rows.begin());
}

answer_match match_answer(const endpoint_reply& reply, awaited_answer awaited, const sent_statement& statement,
                          bool in_transaction, const delivered_proofs& delivered) {
    if (!reply.proof.empty()) {
        if (delivered.belongs_to_other(reply.proof, statement)) {
            return answer_match::repeated;
        }
        return awaited == awaited_answer::statement && !reply.began_early ? answer_match::awaited : answer_match::unexpected;
    }
    if (reply.code == result_code::none) {
        const bool fits = !reply.began_early && fits_without_proof(reply, awaited, in_transaction);
        return fits ? answer_match::awaited : answer_match::repeated;
    }
    return awaited == awaited_answer::none || reply.began_early ? answer_match::unexpected : answer_match::awaited;
}

bool may_be_outdated(const endpoint_reply& status, bool has_delivered_status, const std::optional<log_position>& newest) {
    const bool lacks_nothing = status.position && newest && *status.position >= *newest;
    return has_delivered_status && !lacks_nothing;
}

}  // namespace camphorstack
