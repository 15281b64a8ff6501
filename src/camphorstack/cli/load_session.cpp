#include "camphorstack/cli/load_session.hpp"

#include <cstdlib>
#include <utility>

namespace camphorstack {

namespace {

/// Statements of one transaction, each an ADD of 1.
constexpr std::int64_t adds_per_transaction = 2;
/// Highest number of repetitions of a write with an idempotency key; after them its outcome counts as unknown.
constexpr int max_repetitions = 20;
/// Share of the writes outside of transactions that carry an idempotency key and may be repeated.
constexpr double keyed_share = 0.5;

double random_fraction(random_source& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::size_t random_index(random_source& random, std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

std::int64_t to_number(const std::string& text) {
    return std::strtoll(text.c_str(), nullptr, 10);
}

}  // namespace

load_session::load_session(const load_plan& offered, const load_workspace& workspace, std::size_t session_number,
                           const std::string& run_id)
    : plan(offered), session_workspace(workspace), number(session_number), name(run_id + "-" + std::to_string(session_number)) {}

std::string load_session::counter_name() const {
    return "load-" + this->name;
}

load_request load_session::request_of(request_kind kind, const database_id& database, random_source& random) {
    load_request request;
    request.session = this->number;
    request.target = this->plan.roam ? random_index(random, this->plan.targets.size()) : this->number % this->plan.targets.size();
    request.key = this->session_workspace.key;
    request.kind = kind;
    request.database = database;
    request.session_token = this->tokens[database];
    return request;
}

load_request load_session::new_write(const database_id& database, random_source& random) {
    if (random_fraction(random) < this->plan.transaction_share) {
        return this->request_of(request_kind::begin, database, random);
    }
    auto request = this->request_of(request_kind::write, database, random);
    request.statement = "ADD " + this->counter_name() + " 1";
    if (random_fraction(random) < keyed_share) {
        request.idempotency_key = this->name + "-" + std::to_string(++this->keys_used);
    }
    return request;
}

load_request load_session::transaction_step(random_source& random) {
    const bool complete = this->transaction->add_count == adds_per_transaction;
    auto request =
        this->request_of(complete ? request_kind::commit : request_kind::statement, this->last_request.database, random);
    request.transaction = this->transaction->token;
    request.target = this->plan.roam ? request.target : this->transaction->target;
    if (!complete) {
        request.statement = "ADD " + this->counter_name() + " 1";
    }
    return request;
}

load_request load_session::next(random_source& random, instant now) {
    if (this->transaction) {
        this->last_request = this->transaction_step(random);
    } else if (this->request_to_repeat) {
        const auto target = this->request_of(request_kind::write, this->request_to_repeat->database, random).target;
        this->last_request = *std::exchange(this->request_to_repeat, std::nullopt);
        this->last_request.target = target;
    } else {
        const auto& database = this->plan.databases[random_index(random, this->plan.databases.size())];
        if (random_fraction(random) >= this->plan.read_share) {
            this->last_request = this->new_write(database, random);
        } else {
            this->last_request = this->read_counter(database, random, now);
            if (random_fraction(random) < this->plan.aged_share) {
                this->last_request.max_age = this->plan.max_age;
                this->last_request.session_token.clear();
            }
        }
    }
    this->sent_at = now;
    return this->last_request;
}

load_request load_session::read_counter(const database_id& database, random_source& random, instant now) {
    this->transaction.reset();
    this->last_request = this->request_of(request_kind::read, database, random);
    this->last_request.statement = "GET " + this->counter_name();
    this->sent_at = now;
    return this->last_request;
}

std::optional<std::string> load_session::receive(const load_answer& answer, instant now) {
    const bool aged = this->last_request.max_age.has_value();
    if (answer.outcome == request_outcome::done && !answer.session_token.empty() && !aged) {
        this->tokens[this->last_request.database] = answer.session_token;
    }
    std::optional<std::string> violation;
    if (this->last_request.kind == request_kind::read) {
        violation = this->receive_read(answer);
    } else if (this->last_request.kind == request_kind::write) {
        violation = this->receive_write(answer, now);
    } else {
        this->receive_transaction(answer, now);
    }
    if (violation) {
        violation = "database=" + this->last_request.database + " session=" + this->name +
                    " kind=" + to_string(this->last_request.kind) + " served_by=" + answer.served_by + " " + *violation;
    }
    return violation;
}

std::optional<std::string> load_session::receive_read(const load_answer& answer) {
    if (answer.outcome != request_outcome::done) {
        return std::nullopt;
    }
    auto& counter = this->counters[this->last_request.database];
    const auto value = to_number(answer.result);
    return this->last_request.max_age ? check_aged_read(counter, value, this->sent_at, *this->last_request.max_age)
                                      : check_read(counter, value);
}

std::optional<std::string> load_session::receive_write(const load_answer& answer, instant now) {
    auto& counter = this->counters[this->last_request.database];
    const bool is_first = this->repetitions == 0;
    // A repetition that was refused leaves open whether the first attempt ran.
    const bool was_unknown = answer.outcome == request_outcome::unknown || (!is_first && answer.outcome != request_outcome::done);
    if (was_unknown && !this->last_request.idempotency_key.empty() && this->repetitions < max_repetitions) {
        ++this->repetitions;
        this->request_to_repeat = this->last_request;
        return std::nullopt;
    }
    this->repetitions = 0;
    std::optional<std::string> violation;
    if (answer.outcome == request_outcome::done) {
        violation = check_add(counter, 1, to_number(answer.result));
    }
    record_add(counter, 1, was_unknown ? request_outcome::unknown : answer.outcome, now);
    return violation;
}

void load_session::receive_transaction(const load_answer& answer, instant now) {
    const bool done = answer.outcome == request_outcome::done;
    if (this->last_request.kind == request_kind::begin && done) {
        this->transaction = transaction_progress{answer.transaction, this->last_request.target, 0};
    } else if (this->last_request.kind == request_kind::statement && done) {
        ++this->transaction->add_count;
    } else {
        if (this->last_request.kind == request_kind::commit) {
            record_add(this->counters[this->last_request.database], adds_per_transaction, answer.outcome, now);
        }
        this->transaction.reset();
    }
}

}  // namespace camphorstack
