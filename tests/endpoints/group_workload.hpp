#pragma once

#include <optional>

#include "endpoints/group_simulation.hpp"

namespace camphorstack::tests {

/// Clients that write, read their own writes and run transactions, and checks of the replies that they got.
class group_workload {
public:
    group_workload(group_simulation& target, std::size_t count) : simulation(target), clients(count) {
        this->simulation.each_ms = [this] { this->step_clients(); };
    }

    /// Ends all faults, lets requests finish and returns the violations found in all replies and in the primary's log.
    std::vector<std::string> find_violations() {
        this->stopped = true;
        for (std::size_t index = 0; index < this->simulation.instances.size(); ++index) {
            this->simulation.heal(index);
        }
        this->simulation.run(millis{5000});
        const auto final_primary = this->simulation.primary();
        if (final_primary == this->simulation.instances.size()) {
            this->violations.emplace_back("no primary at the end");
            return this->violations;
        }
        for (const auto& [id, request] : this->simulation.submitted) {
            this->check_request(final_primary, request);
        }
        for (const auto& entry : this->simulation.instances[final_primary].model.log) {
            this->check_log_entry(entry);
        }
        return this->violations;
    }

    bool transactions = true;  ///< Whether clients open transactions.
    std::size_t done = 0;
    std::size_t failed = 0;
    std::string last_failure;  ///< Description of the last request that was not done.

private:
    struct client {
        request_id waiting;  ///< Request without a reply, or empty.
        instant next;        ///< Earliest time of the next request.
        log_position session;
        std::string acknowledged;  ///< Key of the last acknowledged write.
        std::string transaction;
        int statements = 0;
    };

    void step_clients() {
        for (std::size_t index = 0; index < this->clients.size(); ++index) {
            auto& sender = this->clients[index];
            const auto found =
                sender.waiting.empty() ? this->simulation.replies.end() : this->simulation.replies.find(sender.waiting);
            if (found != this->simulation.replies.end()) {
                this->handle_reply(sender, found->second.front().reply);
                sender.waiting.clear();
                sender.next = this->simulation.now + millis{this->simulation.random_int(0, 15)};
            }
            if (sender.waiting.empty() && this->simulation.now >= sender.next &&
                (!this->stopped || !sender.transaction.empty())) {
                this->send_next(sender);
            }
        }
    }

    void handle_reply(client& sender, const database_reply& reply) {
        const auto& request = this->simulation.submitted.at(reply.id);
        const bool ok = reply.outcome == request_outcome::done;
        ok ? ++this->done : ++this->failed;
        if (!ok) {
            this->last_failure = std::string(to_string(request.kind)) + " " + to_string(reply.outcome) + "/" +
                                 to_string(reply.reason) + " after " +
                                 std::to_string((this->simulation.now - this->simulation.submitted_at.at(reply.id)).count) +
                                 " ms of " + std::to_string(request.time_left.count);
        }
        if (request.kind == request_kind::begin) {
            sender.transaction = ok ? reply.transaction : "";
            sender.statements = 0;
        } else if (!request.transaction.empty() && (!ok || request.kind == request_kind::commit)) {
            sender.transaction.clear();
        }
        if (!ok) {
            return;
        }
        sender.session = reply.session;
        if (request.kind == request_kind::write) {
            sender.acknowledged = request.statement.substr(4, request.statement.rfind(' ') - 4);
        } else if (request.kind == request_kind::read && reply.body != "v" + request.statement.substr(4)) {
            this->violations.push_back("read " + request.statement + " answered '" + reply.body + "' by " + reply.served_by);
        }
    }

    void send_next(client& sender) {
        database_request request;
        request.session = sender.session;
        request.time_left = millis{this->simulation.random_int(500, 4000)};
        const auto key = "k" + std::to_string(++this->keys);
        const auto choice = this->simulation.random_int(0, 9);
        if (!sender.transaction.empty()) {
            const bool ends = ++sender.statements > 2 || this->stopped;
            request.kind = ends ? request_kind::commit : request_kind::statement;
            request.statement = ends ? "" : "PUT t" + sender.transaction + "/" + key + " x";
            request.transaction = sender.transaction;
        } else if (choice == 0 && this->transactions) {
            request.kind = request_kind::begin;
        } else if (choice < 5 || sender.acknowledged.empty()) {
            request.kind = request_kind::write;
            request.statement = "PUT " + key + " v" + key;
            request.idempotency_key = choice < 3 ? key : "";
        } else {
            request.statement = "GET " + sender.acknowledged;
            request.max_age = choice == 5 ? std::optional(millis{50}) : std::nullopt;
        }
        const auto host = static_cast<std::size_t>(
            this->simulation.random_int(0, static_cast<std::int64_t>(this->simulation.hosts.size()) - 1));
        sender.waiting = this->simulation.submit(sender.transaction.empty() ? host : this->host_of(sender), std::move(request));
        this->sent_to[sender.waiting] = sender.transaction.empty() ? host : this->host_of(sender);
    }

    /// Returns the host of the open transaction. The transaction's id ends with a colon and the id of its begin request.
    std::size_t host_of(const client& sender) const {
        return this->sent_to.at(sender.transaction.substr(sender.transaction.find(':') + 1));
    }

    void check_request(std::size_t final_primary, const database_request& request) {
        const auto found = this->simulation.replies.find(request.id);
        const auto count = found == this->simulation.replies.end() ? 0 : found->second.size();
        if (count != 1) {
            this->violations.push_back(request.id + " has " + std::to_string(count) + " replies");
            return;
        }
        const auto& reply = found->second.front().reply;
        const bool changes = request.kind == request_kind::write;
        if (changes && reply.outcome == request_outcome::done &&
            !holds_write(this->simulation.instances[final_primary], request.id)) {
            this->violations.push_back("acknowledged " + request.id + " is lost");
        }
        if (reply.outcome == request_outcome::not_run && count_runs(this->simulation.instances, request.id) > 0) {
            this->violations.push_back("not_run " + request.id + " ran");
        }
        if (request.idempotency_key.empty() && count_runs(this->simulation.instances, request.id) > 1) {
            this->violations.push_back("non-idempotent " + request.id + " ran more than once");
        }
    }

    void check_log_entry(const stand_ins::log_entry& entry) {
        std::set<std::string> origins;  // Transactions, or statements outside of transactions.
        for (const auto& statement : entry.statements) {
            origins.insert(statement.starts_with("PUT t") ? statement.substr(0, statement.find('/')) : statement);
        }
        if (origins.size() > 1) {
            this->violations.push_back("entry of " + entry.request + " mixes statements");
        }
    }

    group_simulation& simulation;
    std::vector<client> clients;
    std::map<request_id, std::size_t> sent_to;
    std::vector<std::string> violations;
    bool stopped = false;
    std::size_t keys = 0;
};

}  // namespace camphorstack::tests
