#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "camphorstack/contracts/shares.hpp"
#include "support/simulated_network.hpp"

namespace camphorstack::tests {

/// An admitted request and the true time of its admission.
struct admission {
    instant at;
    workspace_id workspace;
};

struct service_counts {
    std::size_t offered = 0;
    std::size_t admitted = 0;
    std::size_t refused = 0;
};

/// Decides which requests of a fleet are admitted; either the code under test or a scheme for comparison.
class admission_scheme {
public:
    admission_scheme() = default;
    admission_scheme(const admission_scheme&) = delete;
    admission_scheme& operator=(const admission_scheme&) = delete;
    admission_scheme(admission_scheme&&) = delete;
    admission_scheme& operator=(admission_scheme&&) = delete;
    virtual ~admission_scheme() = default;

    virtual void submit(const host_id& host, const workspace_id& workspace) = 0;
    virtual void step() = 0;
    [[nodiscard]] virtual instant now() const = 0;
    virtual void pause(const host_id& host, millis duration) = 0;

    std::map<workspace_id, service_counts> counts;
    std::vector<admission> admissions;
};

/// Requests that wait at a host for tokens, for at most `max_wait`, the default of `host_settings::loan_timeout`.
class waiting_requests {
public:
    static constexpr millis max_wait{25};

    void push(const workspace_id& workspace, instant now) { this->waiting[workspace].push_back(now + max_wait); }

    /// Admits requests in order while `spend(workspace)` is true, and refuses requests that waited longer than `max_wait`.
    template <typename Spend>
    void serve(admission_scheme& scheme, instant now, Spend spend) {
        for (auto& [workspace, deadlines] : this->waiting) {
            auto& counts = scheme.counts[workspace];
            while (!deadlines.empty()) {
                if (deadlines.front() < now) {
                    ++counts.refused;
                } else if (spend(workspace)) {
                    ++counts.admitted;
                    scheme.admissions.push_back({now, workspace});
                } else {
                    break;
                }
                deadlines.pop_front();
            }
        }
    }

    [[nodiscard]] std::size_t count(const workspace_id& workspace) const {
        const auto found = this->waiting.find(workspace);
        return found == this->waiting.end() ? 0 : found->second.size();
    }

private:
    std::map<workspace_id, std::deque<instant>> waiting;
};

/// Hosts that share rate limits and exchange loans or token requests over a simulated network.
class share_fleet final : public admission_scheme {
public:
    using body = std::variant<loan_request, loan_grant, token_request, token_grant>;
    /// A host that has not learned of a member list this long after its writing has no recent evidence and admits no request.
    static constexpr millis max_evidence_age{2000};

    share_fleet(std::uint64_t seed, document first_content, simulated_network<body>::latency_function latency = fleet_latency,
                share_settings wanted = {})
        : network{seed, std::move(latency)}, content{std::move(first_content)}, settings{wanted} {}

    simulated_network<body> network;
    /// How hosts obtain tokens beyond their shares. With `none` the shares are static.
    enum class token_source { none, loans, requests };
    token_source source = token_source::loans;

    /// Starts a process with empty state. It learns the document at once and the member list within 1 ms.
    void start(const host_id& id) {
        auto& fresh = this->hosts[id];
        fresh = {};
        fresh.shares.self = id;
        fresh.shares.settings = this->settings;
        update_rate_limits(fresh.shares, this->content, this->network.local_now(id));
        this->network.start(id);
        this->schedule_member_list(id, millis{1});
    }

    /// Ends a process without notice.
    void crash(const host_id& id) {
        this->network.stop(id);
        this->hosts.erase(id);
    }

    /// Writes a new agreed list; each host learns of it within `longest_delay`.
    void publish(const std::vector<host_id>& ids, millis longest_delay) {
        member_list list{this->lists.size() + 1, {}};
        for (const auto& id : ids) {
            list.hosts.push_back({id, {}, {}, {}});
        }
        std::ranges::sort(list.hosts, {}, &member::id);
        this->lists.push_back({this->network.now(), list});
        for (const auto& [id, host] : this->hosts) {
            this->schedule_member_list(id, longest_delay);
        }
    }

    /// Changes the document; each host learns of it within `longest_delay`.
    void change_document(const document& changed, millis longest_delay) {
        this->content = changed;
        for (auto& [id, host] : this->hosts) {
            host.document_due = {this->network.now() + this->delay_up_to(longest_delay), changed};
        }
    }

    void submit(const host_id& host, const workspace_id& workspace) override {
        ++this->counts[workspace].offered;
        const auto found = this->hosts.find(host);
        if (found == this->hosts.end()) {
            ++this->counts[workspace].refused;
            return;
        }
        found->second.waiting.push(workspace, this->network.now());
    }

    void step() override {
        this->network.step(
            [this](const host_id& to, const host_id& from, const body& message) { this->deliver(to, from, message); });
        for (auto& [id, host] : this->hosts) {
            if (this->network.is_running(id)) {
                this->run(id, host);
            }
        }
    }

    [[nodiscard]] instant now() const override { return this->network.now(); }
    void pause(const host_id& host, millis duration) override { this->network.pause(host, duration); }
    [[nodiscard]] const share_state& shares(const host_id& id) const { return this->hosts.at(id).shares; }

private:
    struct host_entry {
        share_state shares;
        waiting_requests waiting;
        std::pair<instant, document> document_due;
        std::multimap<instant, std::size_t> lists_due;  ///< Indices of published lists, by when the host learns of them.
    };
    struct published_list {
        instant written;
        member_list list;
    };

    millis delay_up_to(millis most) {
        return millis{static_cast<std::int64_t>(this->network.random() % static_cast<std::uint64_t>(most.count + 1))};
    }

    void schedule_member_list(const host_id& id, millis longest_delay) {
        if (!this->lists.empty()) {
            this->hosts.at(id).lists_due.emplace(this->network.now() + this->delay_up_to(longest_delay), this->lists.size() - 1);
        }
    }

    [[nodiscard]] bool is_recent(const host_entry& host) const {
        for (const auto& published : this->lists) {
            if (published.list.epoch > host.shares.members.epoch && published.written + max_evidence_age < this->network.now()) {
                return false;
            }
        }
        return host.shares.members.epoch > 0;
    }

    void run(const host_id& id, host_entry& host) {
        const auto local = this->network.local_now(id);
        if (host.document_due.second.version > host.shares.version && host.document_due.first <= this->network.now()) {
            update_rate_limits(host.shares, host.document_due.second, local);
        }
        while (!host.lists_due.empty() && host.lists_due.begin()->first <= this->network.now()) {
            update_share_holders(host.shares, this->lists[host.lists_due.begin()->second].list, local);
            host.lists_due.erase(host.lists_due.begin());
        }
        const bool serving = this->is_recent(host);
        host.waiting.serve(*this, this->network.now(),
                           [&](const workspace_id& workspace) { return serving && try_spend(host.shares, workspace, local); });
        for (const auto& item : this->content.workspaces) {
            set_waiting_requests(host.shares, item.id, host.waiting.count(item.id));
        }
        if (this->source == token_source::requests) {
            for (const auto& due : due_token_requests(host.shares, local)) {
                this->network.send(id, due.holder, due.request);
            }
        }
        if (this->source == token_source::loans) {
            for (const auto& due : due_loan_returns(host.shares, local)) {
                this->network.send(id, due.receiver, due.grant);
            }
            for (const auto& due : due_loan_requests(host.shares, local, this->network.random)) {
                this->network.send(id, due.lender, due.request);
            }
        }
    }

    void deliver(const host_id& to, const host_id& from, const body& message) {
        const auto found = this->hosts.find(to);
        if (found == this->hosts.end()) {
            return;
        }
        auto& shares = found->second.shares;
        const auto local = this->network.local_now(to);
        if (const auto* request = std::get_if<loan_request>(&message)) {
            this->network.send(to, from, grant_loan(shares, from, *request, local));
        } else if (const auto* wanted = std::get_if<token_request>(&message)) {
            this->network.send(to, from, grant_tokens(shares, *wanted, local));
        } else if (const auto* granted = std::get_if<token_grant>(&message)) {
            receive_token_grant(shares, from, *granted, local);
        } else {
            receive_loan(shares, from, std::get<loan_grant>(message), local);
        }
    }

    document content;
    share_settings settings;
    std::map<host_id, host_entry> hosts;
    std::vector<published_list> lists;
};

/// A rate and burst, in requests, that were in force from a true time on.
struct rate_limit_in_force {
    instant from;
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;
};

/// Returns the most requests by which any window of t seconds exceeds rate * t + burst; at most 0 if the bound holds. Considers
/// only admitted requests. For `grace` after a change, in which hosts learn of it, the larger of the old and the new value
/// applies. Computed with a bucket that starts full: it is overdrawn exactly if some window exceeds the bound.
inline double largest_excess(const std::vector<admission>& admissions, const workspace_id& workspace,
                             const std::vector<rate_limit_in_force>& rate_limits, millis grace) {
    const auto rate_at = [&](instant at, auto field) {
        std::int64_t most = 0;
        for (std::size_t i = 0; i < rate_limits.size(); ++i) {
            const bool begun = rate_limits[i].from <= at;
            const bool ended = i + 1 < rate_limits.size() && rate_limits[i + 1].from + grace < at;
            most = begun && !ended ? std::max(most, rate_limits[i].*field) : most;
        }
        return static_cast<double>(most);
    };
    constexpr double milliseconds_per_second = 1000;
    double level = rate_at(rate_limits.front().from, &rate_limit_in_force::burst);
    double excess = -level;
    instant at = rate_limits.front().from;
    for (const auto& admitted : admissions) {
        if (admitted.workspace != workspace) {
            continue;
        }
        for (; at < admitted.at; at = at + millis{1}) {
            level += rate_at(at, &rate_limit_in_force::rate_per_s) / milliseconds_per_second;
            level = std::min(level, rate_at(at, &rate_limit_in_force::burst));
        }
        level -= 1;
        excess = std::max(excess, -level);
    }
    return excess;
}

}  // namespace camphorstack::tests
