#include "stand_ins/log_puller.hpp"

#include <algorithm>

#include "camphorstack/support/errors.hpp"

namespace camphorstack::stand_ins {

namespace {

/// Time limit without a reply from the primary, to which the replication delay is added. After it the replica opens a new
/// connection.
constexpr millis response_timeout{500};

}  // namespace

log_puller::log_puller(instance_model& replica, const instance_options& limits)
    : instance(replica), options(limits), last_progress(this->time.now()) {
    this->poll();
}

void log_puller::poll() {
    this->timer.run_after(this->options.pull_interval, [this] { this->poll(); });
    if (this->instance.role == endpoint_role::primary || this->instance.followed != this->connected_to ||
        this->time.now() - this->last_progress > response_timeout + this->options.lag) {
        this->disconnect();
    }
    if (this->instance.role == endpoint_role::primary || this->instance.followed.empty()) {
        return;
    }
    if (!this->connection) {
        this->connect();
    } else if (this->ready) {
        this->request_entries();
    }
}

void log_puller::connect() {
    this->connected_to = this->instance.followed;
    this->last_progress = this->time.now();
    pg_connection_events events{[this] { this->ready = true; }, [this](const PGresult& rows) { this->receive(rows); },
                                [this] { this->disconnect(); }};
    this->connection = std::make_unique<pg_connection>(this->connected_to, replication_user, this->watcher, std::move(events));
}

void log_puller::disconnect() {
    this->connection.reset();
    this->connected_to.clear();
    this->ready = false;
    this->next_index = 0;
}

void log_puller::request_entries() {
    this->ready = false;
    this->requested_at = this->time.now();
    // Requests the last entry of the replica again, to check that the primary has the same entry.
    const auto first = this->next_index != 0 ? this->next_index : std::max<std::uint64_t>(this->instance.log.size(), 1);
    this->connection->send("SELECT * FROM camphorstack.log('" + std::to_string(first) + "')");
}

void log_puller::receive(const PGresult& rows) {
    this->last_progress = this->time.now();
    try {
        const auto part = to_log_part(rows);
        if (this->options.lag == millis{0}) {
            this->apply(part);
            return;
        }
        this->timer.run_after(this->options.lag, [this, part, primary = this->connected_to] {
            if (primary == this->connected_to) {
                this->apply(part);
            }
        });
    } catch (const format_error&) {
        this->disconnect();
    }
}

void log_puller::apply(const log_part& part) {
    this->ready = true;
    const auto& log = this->instance.log;
    const bool continues_log = part.first == 1 || (!part.entries.empty() && part.first <= log.size() &&
                                                   log[part.first - 1].position == part.entries.front().position);
    if (continues_log) {
        this->next_index = 0;
        append_entries(this->instance, part.term, part.entries, part.first, part.length, this->requested_at);
        return;
    }
    // The logs diverge before this entry. Halves the index until the replica and the primary have the same entry there.
    this->next_index = std::max<std::uint64_t>(std::min(part.first, part.length) / 2, 1);
}

}  // namespace camphorstack::stand_ins
