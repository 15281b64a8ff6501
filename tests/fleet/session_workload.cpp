#include "fleet/session_workload.hpp"

#include <algorithm>
#include <stdexcept>

#include "camphorstack/document/sections.hpp"

namespace camphorstack::fleet_tests {

session_workload::session_workload(fleet& watched, workload_options wanted, std::uint64_t seed)
    : subject(watched), options(wanted), random(seed) {
    for (int i = 0; i < wanted.sessions; ++i) {
        this->sessions.push_back({i % wanted.workspaces, i % wanted.databases, "", "", false});
    }
}

void session_workload::start(instant end) {
    for (std::size_t i = 0; i < this->sessions.size(); ++i) {
        this->subject.schedule(millis{static_cast<std::int64_t>(this->random() % 20)},
                               [this, i, end] { this->send_next(i, end); });
    }
}

host_id session_workload::pick_host() {
    const auto hosts = this->balanced_hosts.empty() ? this->subject.live_hosts() : this->balanced_hosts;
    return hosts[this->random() % hosts.size()];
}

void session_workload::send_next(std::size_t index, instant end) {
    if (this->subject.now() >= end) {
        return;
    }
    auto& each = this->sessions[index];
    if (!each.is_waiting) {
        const bool writes_now = static_cast<int>(this->random() % 100) < this->options.write_percent;
        const auto host = this->pick_host();
        if (writes_now || each.last_key.empty()) {
            this->write(index, host);
        } else {
            this->read(index, host);
        }
    }
    this->subject.schedule(this->options.interval, [this, index, end] { this->send_next(index, end); });
}

void session_workload::count(const caller_reply& reply) {
    switch (reply.outcome) {
        case request_outcome::done:
            ++this->acknowledged;
            return;
        case request_outcome::not_run:
            ++this->not_run;
            break;
        case request_outcome::unknown:
            ++this->unknown;
            break;
    }
    ++this->reasons[std::string(to_string(reply.outcome)) + "/" + to_string(reply.reason)];
}

void session_workload::write(std::size_t index, const host_id& host) {
    auto& each = this->sessions[index];
    each.is_waiting = true;
    const auto number = this->writes.size();
    const auto key = "w" + std::to_string(number);
    this->writes.push_back({each.database, key, this->subject.now(), {}, false, request_outcome::unknown, refusal::none});
    auto request = this->subject.request(each.workspace, each.database, request_kind::write, "ADD " + key + " 1");
    request.session_token = each.token;
    request.timeout = this->options.timeout;
    if (!this->options.writes_are_non_idempotent) {
        request.idempotency_key = key;
    }
    this->subject.call(host, request, [this, index, number, key](const caller_reply& reply) {
        auto& sender = this->sessions[index];
        auto& record = this->writes[number];
        sender.is_waiting = false;
        record.is_answered = true;
        record.answered = this->subject.now();
        record.outcome = reply.outcome;
        record.reason = reply.reason;
        this->count(reply);
        if (reply.outcome == request_outcome::done) {
            this->latencies.push_back(record.answered - record.sent);
            sender.token = reply.session_token;
            sender.last_key = key;
            if (reply.body != "1") {
                this->reply_violations.push_back("write of " + key + " answered \"" + reply.body + "\" instead of \"1\"");
            }
        }
    });
}

void session_workload::read(std::size_t index, const host_id& host) {
    auto& each = this->sessions[index];
    each.is_waiting = true;
    auto request = this->subject.request(each.workspace, each.database, request_kind::read, "GET " + each.last_key);
    request.session_token = each.token;
    request.timeout = this->options.timeout;
    const bool bounded = static_cast<int>(this->random() % 100) < this->options.age_bound_percent;
    if (bounded) {
        request.max_age = this->options.age_bound;
    }
    const auto sent = this->subject.now();
    this->subject.call(host, request, [this, index, bounded, sent, key = each.last_key](const caller_reply& reply) {
        auto& sender = this->sessions[index];
        sender.is_waiting = false;
        this->count(reply);
        if (reply.outcome != request_outcome::done) {
            return;
        }
        ++this->reads_done;
        this->latencies.push_back(this->subject.now() - sent);
        this->reads_by_replicas += this->subject.instance(reply.served_by).role == endpoint_role::replica ? 1 : 0;
        sender.token = reply.session_token;
        if (!bounded && reply.body != "1") {
            this->reply_violations.push_back("read of " + key + " at " + reply.served_by + " answered \"" + reply.body +
                                             "\" after its write was acknowledged");
        }
    });
}

std::vector<std::string> session_workload::violations() const {
    auto result = this->reply_violations;
    for (const auto& each : this->writes) {
        if (!each.is_answered) {
            result.push_back("write of " + each.key + " was never answered");
            continue;
        }
        const auto& values = this->subject.instance(this->subject.primary_of(each.database)).values;
        const auto value = values.find(each.key);
        const auto runs = value == values.end() ? "0" : value->second;
        if (each.outcome == request_outcome::done && runs != "1") {
            result.push_back("acknowledged write of " + each.key + " was run " + runs + " times");
        }
        if (each.outcome == request_outcome::not_run && runs != "0") {
            result.push_back("write of " + each.key + " was reported as not run (" + to_string(each.reason) + ") but was run " +
                             runs + " times");
        }
        if (each.outcome == request_outcome::unknown && runs != "0" && runs != "1") {
            result.push_back("write of " + each.key + " with unknown outcome was run " + runs + " times");
        }
    }
    return result;
}

millis session_workload::longest_gap(instant from, instant to) const {
    millis longest{0};
    for (int database = 0; database < this->options.databases; ++database) {
        std::vector<instant> done{from};
        for (const auto& each : this->writes) {
            if (each.database == database && each.outcome == request_outcome::done && each.is_answered && each.answered > from &&
                each.answered < to) {
                done.push_back(each.answered);
            }
        }
        done.push_back(to);
        std::ranges::sort(done);
        for (std::size_t i = 1; i < done.size(); ++i) {
            longest = std::max(longest, done[i] - done[i - 1]);
        }
    }
    return longest;
}

void wait_until_ready(fleet& subject, int databases) {
    constexpr millis timeout{15000};
    const auto end = subject.now() + timeout;
    const auto is_ready = [&] {
        for (int database = 0; database < databases; ++database) {
            if (subject.primary_of(database).empty()) {
                return false;
            }
        }
        if (!subject.platform().objects.contains("members")) {
            return false;
        }
        for (const auto& id : subject.live_hosts()) {
            const auto seen = subject.report_of(id);
            const auto& list = subject.platform().objects.at("members");
            const bool all_listed = parse_members(list.value).size() == subject.live_hosts().size();
            if (seen.serving != recency::recent || !all_listed || seen.members_epoch != list.version) {
                return false;
            }
        }
        return true;
    };
    while (!is_ready()) {
        if (subject.now() > end) {
            throw std::logic_error("the fleet was not ready within 15 s");
        }
        subject.run_for(millis{100});
    }
    // The shares of a new member list are in full effect after 4 s.
    subject.run_for(millis{5000});
}

}  // namespace camphorstack::fleet_tests
