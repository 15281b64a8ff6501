#pragma once

#include <map>
#include <memory>
#include <vector>

#include "camphorstack/support/random.hpp"
#include "platform/object_store.hpp"
#include "platform/wire_instance.hpp"
#include "soak/guarantee_checker.hpp"
#include "soak/soak_caller.hpp"
#include "soak/soak_host.hpp"
#include "soak/soak_proxy.hpp"

namespace camphorstack::soak {

/// Session hosts as processes, with the store, a database of two instances and callers in this process. Faults are drawn from the
/// seed; they come in series and overlap.
class soak_platform {
public:
    soak_platform(std::uint64_t seed, const std::string& program, const std::string& folder, int first_port);

    /// Runs for `span` with faults.
    void run_with_faults(millis span);
    /// Ends all faults and runs until every caller has been served again; false if that takes longer than `limit`.
    bool recovers_within(millis limit);

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] const std::vector<std::string>& faults() const { return this->fault_log; }
    [[nodiscard]] std::size_t acknowledged() const { return this->checker.acknowledged(); }
    [[nodiscard]] std::size_t promotions() const { return this->seen_promotions; }

private:
    struct pending_promotion {
        endpoint_id target;
        instant at;
    };
    enum class fault {
        kill_host,
        stop_host,
        pause_host,
        refuse_store,
        silence_store,
        silence_primary,
        drain_primary,
        kill_all,
        hold_instance,
        reset_instance,
        hold_store,
        reset_store
    };

    void tick();
    void inject_fault(instant now);
    void end_faults(instant now, bool all);
    void process_promotions(instant now);
    void promote(const endpoint_id& id);
    void publish_instances();
    [[nodiscard]] platform_tests::wire_instance& instance(const endpoint_id& id);
    millis random_span(std::int64_t least, std::int64_t most) {
        return millis{least + static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most - least + 1))};
    }
    /// Holds requests, answers or both for a while. Tells which.
    std::string hold(soak_proxy& proxy, instant until);
    soak_proxy& random_instance_proxy() { return this->random() % 2 == 0 ? this->first_proxy : this->second_proxy; }
    soak_proxy& random_store_proxy() { return *this->store_proxies[this->random() % this->store_proxies.size()]; }
    soak_host& random_host(random_source& source) { return *this->hosts[source() % this->hosts.size()]; }

    random_source random;          ///< Of the faults, so that a seed's series does not depend on how often callers connect.
    random_source caller_choices;  ///< Of the hosts that callers turn to.
    monotonic_clock time;
    fd_watcher sockets;
    platform_tests::object_store store;
    session_tests::database_model model{"db", {"amman-a", "irbid-a"}};
    platform_tests::wire_instance first{this->sockets, this->model, "db-0"};
    platform_tests::wire_instance second{this->sockets, this->model, "db-1"};
    soak_proxy first_proxy{this->sockets, this->first.address()};
    soak_proxy second_proxy{this->sockets, this->second.address()};
    std::vector<std::unique_ptr<soak_proxy>> store_proxies;  ///< One for each host.
    guarantee_checker checker{this->model};
    std::vector<std::unique_ptr<soak_host>> hosts;
    std::vector<std::unique_ptr<soak_caller>> callers;
    std::vector<pending_promotion> pending_promotions;
    std::size_t seen_promotions = 0;
    std::uint64_t highest_fence = 0;
    std::string last_holder;
    std::vector<std::string> fence_violations;
    std::vector<std::string> fault_log;
    endpoint_id draining;
    instant store_faulty_until;
    instant primary_silent_until;
    std::map<soak_proxy*, instant> hold_ends;  ///< And until when.
    instant draining_until;
    instant next_fault;
    instant next_replication;
};

}  // namespace camphorstack::soak
