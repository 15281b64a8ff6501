#include "soak/soak_caller.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "soak/odd_text.hpp"

namespace camphorstack::soak {

namespace {

struct code_word {
    std::string_view word;
    result_code code;
};

constexpr std::array code_words{
    code_word{"BUSY", result_code::busy},           code_word{"LAGGING", result_code::lagging},
    code_word{"READONLY", result_code::read_only},  code_word{"MISROUTED", result_code::misrouted},
    code_word{"TOOMANY", result_code::too_many},    code_word{"NOSTMT", result_code::no_statement},
    code_word{"TIMEOUT", result_code::timeout},     code_word{"INDOUBT", result_code::in_doubt},
    code_word{"ABORTED", result_code::aborted},     code_word{"NOAUTH", result_code::not_authorized},
    code_word{"NODB", result_code::no_database},    code_word{"TOOLARGE", result_code::too_large},
    code_word{"MALFORMED", result_code::malformed},
};

result_code code_of(std::string_view fields) {
    const auto word = fields.substr(0, fields.find(' '));
    const auto* const found = std::ranges::find(code_words, word, &code_word::word);
    return found == code_words.end() ? result_code::failed : found->code;
}

/// A caller's message, split at its first blank.
struct split_message {
    std::string_view word;
    std::string_view fields;
};

split_message split(std::string_view message) {
    const auto blank = message.find(' ');
    return {message.substr(0, blank), blank == std::string_view::npos ? std::string_view() : message.substr(blank + 1)};
}

int number_at_start(const std::string& data) {
    int value = 0;
    std::from_chars(data.data(), data.data() + data.size(), value);
    return value;
}

}  // namespace

soak_caller::soak_caller(fd_watcher& sockets, guarantee_checker& guarantees, soak_caller_config who)
    : watcher(sockets),
      checker(guarantees),
      config(std::move(who)),
      random(this->config.seed),
      own_item(odd_text(this->config.name, false, this->random)) {}

void soak_caller::tick(const std::string& address, instant now) {
    if (this->socket && !this->socket->is_open()) {
        this->drop_session();
    }
    if (!this->socket) {
        if (now >= this->next_action_time) {
            this->connect(address, now);
        }
        return;
    }
    if ((!this->is_ready || this->open) && now - this->waiting_since >= answer_timeout) {
        this->drop_session();
        return;
    }
    if (this->is_ready && !this->open && now >= this->next_action_time) {
        this->send_next(now);
    }
}

void soak_caller::lower_expected_value(int value_in_log) {
    this->min_expected = std::min(this->min_expected, value_in_log);
    this->open_min_expected = std::min(this->open_min_expected, value_in_log);
    this->had_promotion = true;
}

std::string soak_caller::describe() const {
    const auto* const waits = !this->socket     ? "has no session"
                              : !this->is_ready ? "waits for its session"
                              : this->open      ? "waits for an answer"
                                                : "is idle";
    return this->config.name + " on " + this->config.route + " " + waits + "; last outcome: " + to_string(this->answer.code);
}

void soak_caller::connect(const std::string& address, instant now) {
    this->waiting_since = now;
    this->next_action_time = now + pause_after_failure;
    this->socket =
        std::make_unique<platform_tests::message_connection>(this->watcher, platform_tests::connect_on_loopback(address),
                                                             [this](std::string_view message) { this->on_message(message); });
    this->socket->write("START " + this->config.route + " " + this->config.key + "\r\n");
}

void soak_caller::plan_operation() {
    const auto choice = this->random() % 100;
    const auto data_step = [this] {
        const auto kind = this->random() % 10;
        return kind < 4 ? step::write : kind < 7 || this->prepared.empty() ? step::read : step::execute;
    };
    if (choice < 70) {
        this->plan = {choice < 55 ? data_step() : choice < 62 ? step::set_value : step::prepare};
        return;
    }
    this->plan = {choice < 75 ? step::begin_read_only : step::begin};
    for (auto count = 1 + this->random() % 5; count > 0; --count) {
        const bool changes_session = this->random() % 10 == 0;
        this->plan.push_back(changes_session ? (count % 2 == 0 ? step::set_value : step::prepare)
                             : choice < 75   ? step::read
                                             : data_step());
    }
    const auto end = this->random() % 20;
    this->plan.push_back(end < 14 ? step::commit : end < 19 ? step::rollback : step::leave);
}

std::string soak_caller::random_name() {
    return std::array{"s1", "s\n2", "-", "\xff%"}[this->random() % 4];
}

std::string soak_caller::make_data() {
    return odd_text(std::to_string(++this->last_sent) + std::array{" ", "\n", "\r", "x"}[this->random() % 4], true, this->random);
}

sent_statement soak_caller::make_statement(step next) {
    sent_statement made;
    made.id = odd_text(this->config.name + "-" + std::to_string(++this->next_statement) + "-", false, this->random);
    made.workspace = this->config.workspace;
    made.values = this->values;
    made.transaction = this->transaction;
    switch (next) {
        case step::read:
            made.text = "READ " + this->own_item;
            break;
        case step::write:
            made.kind = sent_kind::write;
            made.text = "WRITE " + this->own_item + " " + this->make_data();
            break;
        case step::execute: {
            const auto& [name, shape] =
                *std::next(this->prepared.begin(), static_cast<std::ptrdiff_t>(this->random() % this->prepared.size()));
            made.kind = shape.writes ? sent_kind::write : sent_kind::read;
            made.prepared = shape;
            made.argument = this->own_item + (shape.writes ? " " + this->make_data() : "");
            made.text = "EXECUTE " + name + " " + made.argument;
            break;
        }
        case step::begin:
        case step::begin_read_only:
            made.kind = sent_kind::begin;
            made.text = next == step::begin ? "BEGIN" : "BEGIN READ";
            made.transaction = made.id;
            break;
        case step::commit:
            made.kind = sent_kind::commit;
            made.text = "COMMIT";
            break;
        case step::rollback:
        case step::leave:
            made.kind = sent_kind::rollback;
            made.text = "ROLLBACK";
            break;
        case step::set_value:
            made.kind = sent_kind::set_value;
            made.text = "SET " + this->random_name() + " " + odd_text("v", true, this->random);
            break;
        case step::prepare:
            made.kind = sent_kind::prepare;
            made.text = "PREPARE " + this->random_name() + (this->random() % 2 == 0 ? " READ " : " WRITE ") +
                        odd_text("q", true, this->random);
            break;
    }
    return made;
}

void soak_caller::send_next(instant now) {
    if (this->plan.empty()) {
        this->plan_operation();
        this->open_min_expected = this->min_expected;
        this->had_promotion = false;
        this->written_in_transaction = 0;
    }
    const auto next = this->plan.front();
    this->plan.pop_front();
    if (next == step::leave) {
        this->drop_session();
        return;
    }
    this->open = this->make_statement(next);
    this->waiting_since = now;
    this->answer = {};
    this->has_outcome = false;
    this->checker.record_sent(*this->open);
    this->socket->write("QUERY " + this->open->id + " " + this->open->text + "\r\n");
    this->next_action_time = now + statement_interval;
}

void soak_caller::on_message(std::string_view message) {
    const auto [word, fields] = split(message);
    if (!this->is_ready) {
        this->is_ready = word == "READY";
        return;
    }
    if (!this->open) {
        // A host may report with ERROR why it ends the session.
        if (word != "ERROR") {
            this->checker.record_unrequested(this->config.name, message);
        }
        return;
    }
    if (word == "ROW" && !this->has_outcome) {
        this->answer.rows.emplace_back(fields);
    } else if (word == "DONE" && !this->has_outcome) {
        this->has_outcome = true;
        this->answer.proof = fields;
    } else if (word == "ERROR" && !this->has_outcome) {
        this->has_outcome = true;
        this->answer.code = code_of(fields);
    } else if (word == "READY" && this->has_outcome && !fields.empty()) {
        this->finish(fields.front());
    } else {
        this->checker.record_unrequested(this->config.name, message);
    }
}

void soak_caller::finish(char state) {
    const auto sent = *std::exchange(this->open, std::nullopt);
    this->checker.record_answer(sent.id, this->answer);
    if (this->answer.code == result_code::none) {
        this->finish_success(sent, state);
        return;
    }
    this->next_action_time = this->waiting_since + pause_after_failure;
    this->plan.clear();
    if (sent.kind == sent_kind::set_value || sent.kind == sent_kind::prepare) {
        this->plan = {step::leave};
    } else if (state == 'I') {
        this->transaction.clear();
    } else {
        this->plan = {sent.kind == sent_kind::rollback ? step::leave : step::rollback};
    }
}

void soak_caller::finish_success(const sent_statement& sent, char state) {
    this->success_count +=
        sent.kind == sent_kind::read || sent.kind == sent_kind::write || sent.kind == sent_kind::commit ? 1 : 0;
    switch (sent.kind) {
        case sent_kind::read: {
            const int value = this->answer.rows.empty() ? 0 : number_at_start(this->answer.rows.front());
            this->checker.record_read_value(sent.id, value, this->open_min_expected, this->last_sent);
            this->min_expected = this->had_promotion ? this->min_expected : std::max(this->min_expected, value);
            break;
        }
        case sent_kind::write:
            if (!sent.transaction.empty()) {
                this->written_in_transaction = this->last_sent;
            } else if (!this->had_promotion) {
                this->min_expected = this->last_sent;
            }
            break;
        case sent_kind::begin:
            this->transaction = sent.id;
            break;
        case sent_kind::commit:
            if (!this->had_promotion) {
                this->min_expected = std::max(this->min_expected, this->written_in_transaction);
            }
            this->transaction.clear();
            break;
        case sent_kind::rollback:
            this->transaction.clear();
            break;
        case sent_kind::set_value: {
            const auto [name, value] = split(split(sent.text).fields);
            this->values[std::string(name)] = value;
            break;
        }
        case sent_kind::prepare: {
            const auto [name, rest] = split(split(sent.text).fields);
            const auto [mode, shape] = split(rest);
            this->prepared[std::string(name)] = {mode == "WRITE", std::string(shape)};
            break;
        }
    }
    this->checker.record_state(sent.id, state, this->transaction.empty() ? 'I' : 'T');
}

void soak_caller::drop_session() {
    this->socket.reset();
    this->is_ready = false;
    this->open.reset();
    this->plan.clear();
    this->transaction.clear();
    this->values.clear();
    this->prepared.clear();
}

}  // namespace camphorstack::soak
