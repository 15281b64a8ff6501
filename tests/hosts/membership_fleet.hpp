#pragma once

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "camphorstack/hosts/evidence.hpp"
#include "camphorstack/hosts/membership.hpp"
#include "camphorstack/hosts/owners.hpp"
#include "support/simulated_network.hpp"

namespace camphorstack::tests {

inline member make_member(std::size_t index) {
    const auto id = host_name(index);
    return {id, "127.0.0.1:" + std::to_string(10000 + index), "127.0.0.1:" + std::to_string(20000 + index),
            "dc" + std::to_string(data_centre_of(id))};
}

/// Hosts that run membership and evidence over a simulated network. All are watchers while there are at most nine.
class membership_fleet {
public:
    membership_fleet(std::uint64_t seed, std::size_t size) : network{seed, fleet_latency} {
        for (std::size_t i = 0; i < size; ++i) {
            this->members.hosts.push_back(make_member(i));
        }
        for (std::size_t i = 0; i < size; ++i) {
            this->start(i);
        }
        this->watchers = choose_watchers(this->members);
    }

    /// Starts a process that knows the hosts of `members`, if any.
    void start(std::size_t index) {
        auto& fresh = this->hosts[host_name(index)];
        fresh = {};
        fresh.membership.self = make_member(index);
        // Spread the hosts' probes over the interval, as processes start at different times.
        const auto local = this->network.local_now(fresh.membership.self.id);
        fresh.membership.next_probe = local + millis{static_cast<std::int64_t>(this->network.random() % 200)};
        fresh.next_confirmation = this->network.now() + millis{static_cast<std::int64_t>(this->network.random() % 500)};
        add_members(fresh.membership, this->members.hosts, local);
        this->network.start(fresh.membership.self.id);
    }

    void run(millis duration) {
        const auto end = this->network.now() + duration;
        while (this->network.now() < end) {
            this->step();
        }
    }

    void step() {
        this->network.step(
            [this](const host_id& to, const host_id& from, const peer_body& body) { this->deliver(to, from, body); });
        for (auto& [id, host] : this->hosts) {
            // Ticks every 10 ms are enough for timeouts of 150 ms.
            if (this->network.is_running(id) && this->network.local_now(id).since_start % 10 == 0) {
                this->confirm(id, host);
                this->send(
                    id, membership_tick(host.membership, {this->version, 1}, this->network.local_now(id), this->network.random));
            }
        }
        for (auto& [id, host] : this->hosts) {
            for (const auto& record : take_records(host.membership)) {
                this->observed_suspicions += record.kind == "host_suspected" && record.observations.starts_with("silent") ? 1 : 0;
                this->observed_deaths += record.kind == "host_dead" && record.observations.starts_with("suspected") ? 1 : 0;
            }
        }
    }

    [[nodiscard]] membership_state& state(std::size_t index) { return this->hosts.at(host_name(index)).membership; }
    [[nodiscard]] evidence_state& evidence(std::size_t index) { return this->hosts.at(host_name(index)).evidence; }
    [[nodiscard]] recency recency_of(std::size_t index) {
        return check_recency(this->evidence(index), this->watchers, this->version, this->network.local_now(host_name(index)));
    }

    /// Number of running hosts that see `index` in one of `states`.
    [[nodiscard]] std::size_t seen_by(std::size_t index, const std::set<member_state>& states) const {
        std::size_t count = 0;
        for (const auto& [id, host] : this->hosts) {
            const bool other = id != host_name(index) && this->network.is_running(id);
            count += other && states.contains(state_of(host.membership, host_name(index))) ? 1 : 0;
        }
        return count;
    }

    simulated_network<peer_body> network;
    member_list members{1, {}};
    std::vector<host_id> watchers;
    document_version version = 1;
    std::set<host_id> without_platform;   ///< Their reads of the platform get no answer.
    std::size_t observed_suspicions = 0;  ///< By hosts' own observation.
    std::size_t observed_deaths = 0;      ///< By hosts' own observation.
    std::size_t encoded_bytes = 0;
    std::size_t (*size_of)(const peer_body&) = nullptr;  ///< Counts the bytes of each message if set.

private:
    struct host_entry {
        membership_state membership;
        evidence_state evidence;
        instant next_confirmation;
    };

    void confirm(const host_id& id, host_entry& host) {
        if (this->network.now() < host.next_confirmation || !std::ranges::binary_search(this->watchers, id)) {
            return;
        }
        host.next_confirmation = this->network.now() + millis{500};
        const bool answered = !this->without_platform.contains(id);
        record_own_evidence(host.evidence, id, {this->version, 1, answered, this->network.local_now(id)});
    }

    void deliver(const host_id& to, const host_id& from, const peer_body& body) {
        auto& host = this->hosts.at(to);
        const auto local = this->network.local_now(to);
        const known_versions versions{this->version, 1};
        if (const auto* question = std::get_if<probe>(&body)) {
            auto answer = answer_probe(host.membership, from, *question, versions, entries_to_share(host.evidence, local), local);
            this->send(to, {{from, std::move(answer)}});
        } else if (const auto* answer = std::get_if<probe_answer>(&body)) {
            if (const auto asked = receive_probe_answer(host.membership, from, *answer, local)) {
                merge_evidence(host.evidence, answer->evidence, *asked);
            }
        } else if (const auto* request = std::get_if<relay_probe>(&body)) {
            this->send(to, start_relayed_probe(host.membership, from, *request, versions, local));
        } else if (const auto* relayed = std::get_if<relay_answer>(&body)) {
            receive_relay_answer(host.membership, *relayed, local);
        }
    }

    void send(const host_id& from, const addressed_messages& messages) {
        for (const auto& message : messages) {
            this->encoded_bytes += this->size_of == nullptr ? 0 : this->size_of(message.body);
            this->network.send(from, message.to, message.body);
        }
    }

    std::map<host_id, host_entry> hosts;
};

}  // namespace camphorstack::tests
