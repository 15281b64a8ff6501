#pragma once

#include "contracts/share_fleet.hpp"

namespace camphorstack::tests {

/// Baseline for comparison: a central allocator per workspace hands out leases of tokens from one bucket. Host h0 is the
/// allocator of all workspaces, so hosts in the other data centres are 8 ms away from it.
class allocator_fleet final : public admission_scheme {
public:
    /// Asks for tokens or, if `grant` is true, grants them. `tokens` is the number of requests for which they suffice.
    struct body {
        workspace_id workspace;
        std::int64_t tokens = 0;
        bool grant = false;
    };

    using network_type = simulated_network<body>;

    allocator_fleet(std::uint64_t seed, const document& content, std::size_t size, network_type::latency_function latency)
        : network{seed, std::move(latency)} {
        for (const auto& item : content.workspaces) {
            this->buckets[item.id] = {item.rate_per_s, item.burst, item.burst * request_cost, {}};
        }
        for (std::size_t i = 0; i < size; ++i) {
            this->hosts[host_name(i)] = {};
        }
    }

    network_type network;

    void submit(const host_id& host, const workspace_id& workspace) override {
        ++this->counts[workspace].offered;
        auto& entry = this->hosts.at(host);
        entry.waiting.push(workspace, this->network.now());
        ++entry.leases[workspace].recent;
    }

    void step() override {
        this->network.step([this](const host_id& to, const host_id& from, const body& message) {
            auto& lease = this->hosts.at(to).leases[message.workspace];
            if (message.grant) {
                lease.tokens += message.tokens;
                lease.expires = this->network.now() + lease_duration;
                lease.asked = instant{-1000};
            } else {
                this->network.send(to, from, {message.workspace, this->take(message.workspace, message.tokens), true});
            }
        });
        for (auto& [id, host] : this->hosts) {
            if (this->network.is_running(id)) {
                this->run(id, host);
            }
        }
    }

    [[nodiscard]] instant now() const override { return this->network.now(); }
    void pause(const host_id& host, millis duration) override { this->network.pause(host, duration); }

private:
    static constexpr millis lease_duration{500};
    static constexpr millis ask_again{20};

    struct bucket {
        std::int64_t rate_per_s = 0;
        std::int64_t burst = 0;
        millitokens tokens = 0;
        instant updated;
    };
    struct lease_state {
        std::int64_t tokens = 0;
        std::int64_t recent = 0;  ///< Requests in the current tenth of a second.
        std::int64_t former = 0;  ///< Requests in the previous tenth of a second.
        instant expires;
        instant asked{-1000};
    };
    struct host_entry {
        waiting_requests waiting;
        std::map<workspace_id, lease_state> leases;
    };

    std::int64_t take(const workspace_id& workspace, std::int64_t wanted) {
        auto& source = this->buckets.at(workspace);
        const auto elapsed = this->network.now() - source.updated;
        source.tokens = std::min(source.tokens + source.rate_per_s * elapsed.count, source.burst * request_cost);
        source.updated = this->network.now();
        const auto granted = std::min(wanted, source.tokens / request_cost);
        source.tokens -= granted * request_cost;
        return granted;
    }

    void run(const host_id& id, host_entry& host) {
        const auto now = this->network.now();
        for (auto& [workspace, held] : host.leases) {
            held.tokens = now < held.expires ? held.tokens : 0;
            const auto demand = std::max(held.recent, held.former);
            const auto wanted = static_cast<std::int64_t>(host.waiting.count(workspace)) + demand - held.tokens;
            if (2 * wanted > demand && held.asked + ask_again <= now) {
                this->network.send(id, host_name(0), {workspace, wanted, false});
                held.asked = now;
            }
            if (now.since_start % 100 == 0) {
                held.former = std::exchange(held.recent, 0);
            }
        }
        host.waiting.serve(*this, now, [&host](const workspace_id& workspace) {
            auto& held = host.leases[workspace];
            if (held.tokens == 0) {
                return false;
            }
            --held.tokens;
            return true;
        });
    }

    std::map<workspace_id, bucket> buckets;
    std::map<host_id, host_entry> hosts;
};

}  // namespace camphorstack::tests
