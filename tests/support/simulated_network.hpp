#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack::tests {

/// Faults of all links. Probabilities are between 0 and 1.
struct link_faults {
    double loss = 0;
    double duplication = 0;
    millis jitter;  ///< Up to this much is added to the latency, so messages overtake each other.
};

/// Messages between hosts on a manual clock that advances in steps of 1 ms. Everything follows from the seed.
template <typename Body>
class simulated_network {
public:
    using latency_function = std::function<millis(const host_id&, const host_id&)>;

    explicit simulated_network(std::uint64_t seed, latency_function latency = {})
        : random{seed}, link_latency{std::move(latency)} {}

    link_faults faults;
    random_source random;

    /// True time. Hosts see `local_now`, so that a decision which compares instants of different hosts fails.
    [[nodiscard]] instant now() const { return this->current; }

    [[nodiscard]] instant local_now(const host_id& host) const {
        constexpr std::int64_t largest_offset = 1'000'000;
        return this->current + millis{static_cast<std::int64_t>(std::hash<std::string>{}(host) % largest_offset)};
    }

    /// Cuts the link in both directions.
    void cut(const host_id& a, const host_id& b) { this->cut_links.insert(std::minmax(a, b)); }
    void heal_link(const host_id& a, const host_id& b) { this->cut_links.erase(std::minmax(a, b)); }
    void heal_all_links() { this->cut_links.clear(); }

    /// A paused host neither runs nor reads; its messages wait.
    void pause(const host_id& host, millis duration) { this->paused_until[host] = this->current + duration; }

    /// A stopped host loses all messages.
    void stop(const host_id& host) { this->stopped.insert(host); }
    void start(const host_id& host) { this->stopped.erase(host); }

    /// Answers and requests of this host are delayed by up to `delay` more.
    void slow_down(const host_id& host, millis delay) { this->extra_delays[host] = delay; }

    [[nodiscard]] bool is_running(const host_id& host) const {
        const auto found = this->paused_until.find(host);
        return !this->stopped.contains(host) && (found == this->paused_until.end() || found->second <= this->current);
    }

    void send(const host_id& from, const host_id& to, const Body& body) {
        ++this->sent;
        const bool cut = this->cut_links.contains(std::minmax(from, to));
        if (cut || this->chance(this->faults.loss)) {
            return;
        }
        this->queue.emplace(this->arrival(from, to), message{from, to, body});
        if (this->chance(this->faults.duplication)) {
            this->queue.emplace(this->arrival(from, to), message{from, to, body});
        }
    }

    /// Advances by 1 ms and hands each message that is due to `deliver(to, from, body)`.
    template <typename Deliver>
    void step(Deliver deliver) {
        this->current = this->current + millis{1};
        while (!this->queue.empty() && this->queue.begin()->first <= this->current) {
            auto due = this->queue.extract(this->queue.begin()).mapped();
            if (this->stopped.contains(due.to)) {
                continue;
            }
            if (!this->is_running(due.to)) {
                this->queue.emplace(this->paused_until[due.to] + millis{1}, std::move(due));
                continue;
            }
            deliver(due.to, due.from, due.body);
        }
    }

    [[nodiscard]] std::size_t messages_sent() const { return this->sent; }

    bool chance(double probability) {
        return probability > 0 && std::uniform_real_distribution<double>{0, 1}(this->random) < probability;
    }

private:
    struct message {
        host_id from;
        host_id to;
        Body body;
    };

    millis random_delay(millis max_delay) {
        return millis{max_delay.count > 0
                          ? static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(max_delay.count + 1))
                          : 0};
    }

    instant arrival(const host_id& from, const host_id& to) {
        auto delay = (this->link_latency ? this->link_latency(from, to) : millis{1}) + this->random_delay(this->faults.jitter);
        for (const auto& end : {from, to}) {
            const auto found = this->extra_delays.find(end);
            delay = found == this->extra_delays.end() ? delay : delay + this->random_delay(found->second);
        }
        return this->current + delay;
    }

    instant current;
    latency_function link_latency;
    std::multimap<instant, message> queue;
    std::set<std::pair<host_id, host_id>> cut_links;
    std::map<host_id, instant> paused_until;
    std::map<host_id, millis> extra_delays;
    std::set<host_id> stopped;
    std::size_t sent = 0;
};

/// "h0", "h1", ... in three data centres by turns.
inline host_id host_name(std::size_t index) {
    return "h" + std::to_string(index);
}
inline std::size_t data_centre_of(const host_id& host) {
    return std::stoul(host.substr(1)) % 3;
}

/// Latencies of both users' fleets: 1 ms within a data centre, 8 ms between them, as each is in a region of its own.
inline millis fleet_latency(const host_id& a, const host_id& b) {
    return data_centre_of(a) == data_centre_of(b) ? millis{1} : millis{8};
}

}  // namespace camphorstack::tests
