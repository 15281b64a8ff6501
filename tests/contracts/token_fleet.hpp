#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/contracts/shares.hpp"
#include "contracts/share_fleet.hpp"

namespace camphorstack::tests {

/// Hosts that enforce rates with token requests. Only hosts with something to do are visited, so that a fleet of 1,400 hosts runs
/// in seconds. An operation waits for a token as in session_host/operations.cpp.
class token_fleet {
public:
    /// A quarter of a target latency of 300 ms, and the wait in a workspace that was refused a moment ago.
    static constexpr millis usual_wait{75};
    static constexpr millis shortest_wait{40};
    static constexpr millis tick_interval{20};
    static constexpr std::size_t data_centre_count = 6;

    token_fleet(std::size_t host_count, const document& content, share_settings settings) : known(host_count) {
        for (std::size_t i = 0; i < host_count; ++i) {
            auto& shares = this->known[i].shares;
            shares.self = host_name(i);
            shares.settings = settings;
            shares.next_sequence = 1;
            update_rate_limits(shares, content, this->current);
            this->index[shares.self] = i;
            this->everybody.push_back({shares.self, {}, {}, "dc-" + std::to_string(i % data_centre_count)});
        }
        std::ranges::sort(this->everybody, {}, &member::id);
        this->publish({}, millis{0}, {});
    }

    /// Tells all running hosts of a new member list without the hosts in `missing`, each at a random time within `longest_delay`.
    void publish(const std::set<host_id>& missing, millis longest_delay, random_source random) {
        member_list hosts{++this->epoch, {}};
        std::ranges::copy_if(this->everybody, std::back_inserter(hosts.hosts),
                             [&missing](const member& host) { return !missing.contains(host.id); });
        const auto list = std::make_shared<const member_list>(std::move(hosts));
        for (std::size_t i = 0; i < this->known.size(); ++i) {
            const millis delay{static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(longest_delay.count + 1))};
            this->schedule(this->current + delay, i, list);
        }
    }

    /// Ends a process without notice.
    void crash(const host_id& id) { this->known[this->index.at(id)].running = false; }
    /// Ends every process of a data centre without notice. Returns their hosts.
    std::set<host_id> crash_data_centre(std::size_t number) {
        std::set<host_id> gone;
        for (std::size_t i = number; i < this->known.size(); i += data_centre_count) {
            this->known[i].running = false;
            gone.insert(host_name(i));
        }
        return gone;
    }

    void submit(std::size_t host, const workspace_id& workspace) {
        ++this->counts[workspace].offered;
        auto& entry = this->known.at(host);
        if (try_spend(entry.shares, workspace, this->current)) {
            this->admit(workspace);
            return;
        }
        const bool is_over_rate = was_refused_recently(entry.shares, workspace, this->current);
        const auto deadline = this->current + (is_over_rate ? shortest_wait : usual_wait);
        if (this->refuse(entry, workspace, deadline)) {
            return;
        }
        entry.waiting[workspace].push_back(deadline);
        this->request_tokens(host);
        this->schedule(this->current + tick_interval, host, tick{});
    }

    /// Runs until `end`, and leaves events after it for later.
    void run_until(instant end) {
        while (!this->events.empty() && this->events.top().at <= end) {
            const auto due = this->events.top();
            this->events.pop();
            this->current = due.at;
            if (this->known[due.host].running) {
                this->handle(due.host, due.what);
            }
        }
        this->current = end;
    }

    [[nodiscard]] instant now() const { return this->current; }
    [[nodiscard]] std::size_t host_count() const { return this->known.size(); }
    [[nodiscard]] bool is_running(std::size_t host) const { return this->known.at(host).running; }
    [[nodiscard]] const share_state& shares(std::size_t host) const { return this->known.at(host).shares; }

    std::map<workspace_id, service_counts> counts;
    std::vector<admission> admissions;
    std::size_t messages = 0;

private:
    struct tick {};
    struct addressed {
        host_id from;
        std::variant<token_request, token_grant> body;
    };
    using event_content = std::variant<tick, addressed, std::shared_ptr<const member_list>>;
    struct event {
        instant at;
        std::uint64_t number = 0;  ///< Orders events of the same instant.
        std::size_t host = 0;
        event_content what;

        bool operator<(const event& other) const {
            return other.at < this->at || (other.at == this->at && other.number < this->number);
        }
    };
    struct host_entry {
        share_state shares;
        std::map<workspace_id, std::deque<instant>> waiting;  ///< Deadlines of waiting operations.
        bool running = true;
    };

    void schedule(instant at, std::size_t host, event_content what) {
        this->events.push({at, this->next_number++, host, std::move(what)});
    }

    void admit(const workspace_id& workspace) {
        ++this->counts[workspace].admitted;
        this->admissions.push_back({this->current, workspace});
    }

    bool refuse(host_entry& entry, const workspace_id& workspace, instant deadline) {
        if (this->current < deadline && next_token_at(entry.shares, workspace, this->current) < deadline) {
            return false;
        }
        record_refusal(entry.shares, workspace, this->current);
        ++this->counts[workspace].refused;
        return true;
    }

    void request_tokens(std::size_t host) {
        auto& entry = this->known[host];
        for (const auto& [workspace, deadlines] : entry.waiting) {
            set_waiting_requests(entry.shares, workspace, deadlines.size());
        }
        for (const auto& due : due_token_requests(entry.shares, this->current)) {
            const auto holder = this->index.at(due.holder);
            if (this->known[holder].running) {
                this->send(host, holder, due.request);
            } else {
                fail_token_request(entry.shares, due.holder, due.request, this->current);
            }
        }
    }

    void send(std::size_t from, std::size_t to, std::variant<token_request, token_grant> body) {
        ++this->messages;
        const auto region = [](std::size_t host) { return host % data_centre_count / 2; };
        const millis latency{region(from) == region(to) ? 1 : 8};
        this->schedule(this->current + latency, to, addressed{this->known[from].shares.self, std::move(body)});
    }

    void handle(std::size_t host, const event_content& what) {
        auto& entry = this->known[host];
        if (const auto* list = std::get_if<std::shared_ptr<const member_list>>(&what)) {
            update_share_holders(entry.shares, **list, this->current);
            return;
        }
        if (const auto* message = std::get_if<addressed>(&what)) {
            if (const auto* request = std::get_if<token_request>(&message->body)) {
                this->send(host, this->index.at(message->from), grant_tokens(entry.shares, *request, this->current));
                return;
            }
            receive_token_grant(entry.shares, message->from, std::get<token_grant>(message->body), this->current);
        }
        this->serve_waiting(host);
    }

    void serve_waiting(std::size_t host) {
        auto& entry = this->known[host];
        bool waits = false;
        for (auto& [workspace, deadlines] : entry.waiting) {
            while (!deadlines.empty() && try_spend(entry.shares, workspace, this->current)) {
                this->admit(workspace);
                deadlines.pop_front();
            }
            while (!deadlines.empty() && this->refuse(entry, workspace, deadlines.front())) {
                deadlines.pop_front();
            }
            waits = waits || !deadlines.empty();
            set_waiting_requests(entry.shares, workspace, deadlines.size());
        }
        if (waits) {
            this->request_tokens(host);
            this->schedule(this->current + tick_interval, host, tick{});
        }
    }

    instant current{1000};
    std::vector<host_entry> known;
    std::map<host_id, std::size_t> index;
    std::vector<member> everybody;
    std::priority_queue<event> events;
    std::uint64_t next_number = 0;
    std::uint64_t epoch = 0;
};

}  // namespace camphorstack::tests
