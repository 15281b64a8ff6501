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

/// What a soak consists of.
struct soak_config {
    std::uint64_t seed = 1;
    std::string program;
    std::string folder;  ///< For settings and logs of hosts.
    int first_port = 0;  ///< Four ports for each host follow one another.
    int hosts = 4;
    int callers = 8;

    friend bool operator==(const soak_config&, const soak_config&) = default;
};

/// Runs session hosts as processes, and in this process the callers and stand-ins for the store and for a database of two
/// instances. Faults are chosen at random by the seed; they follow one another and may overlap.
class soak_platform {
public:
    explicit soak_platform(const soak_config& config);

    /// Runs for `span` and injects faults.
    void run_with_faults(millis span);
    /// Ends all faults and runs until every caller has been served again; false if that takes longer than `limit`.
    bool recovers_within(millis limit);

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] const std::vector<std::string>& faults() const { return this->fault_log; }
    /// Callers that were not served again in time.
    [[nodiscard]] const std::vector<std::string>& unserved() const { return this->unserved_callers; }
    [[nodiscard]] std::size_t transactions() const { return this->checker.committed_transactions(); }
    [[nodiscard]] std::size_t acknowledged() const { return this->checker.acknowledged(); }
    /// Number of statements that the instances answered, including the hosts' own.
    [[nodiscard]] std::size_t statements() const { return this->model.answers.size(); }
    [[nodiscard]] std::size_t promotions() const { return this->seen_promotions; }

private:
    struct pending_promotion {
        endpoint_id target;
        instant at;
    };
    struct stutter_fault {
        platform_tests::answer_repetition kind;  ///< `none` if each moment has a kind of its own.
        instant until;
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
        reset_store,
        stutter,
        refuse_statements,
        cut_answers,
        slow_instance
    };
    static constexpr std::uint64_t fault_count = 16;

    void tick();
    void inject_fault(instant now);
    void end_faults(instant now, bool all);
    /// Lets an instance repeat or cut answers, as its faults say.
    void disturb_answers(instant now);
    /// Let an instance refuse statements or delay all data for a random time. Return a text that says so.
    std::string start_refusing(const endpoint_id& id, instant now);
    std::string start_delaying(const endpoint_id& id, instant now);
    /// Chooses an error for a statement, or none. See `database_model::refuse`.
    std::optional<result_code> choose_refusal(const endpoint_id& id, const endpoint_statement& requested);
    void process_promotions(instant now);
    void promote(const endpoint_id& id);
    void publish_instances();
    [[nodiscard]] platform_tests::wire_instance& instance(const endpoint_id& id);
    millis random_span(std::int64_t least, std::int64_t most) {
        return millis{least + static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most - least + 1))};
    }
    /// Holds back requests, answers or both until `until`. Returns a text that names what is held back.
    std::string hold(soak_proxy& proxy, instant until);
    endpoint_id random_instance() { return this->random() % 2 == 0 ? "db-0" : "db-1"; }
    soak_proxy& instance_proxy(const endpoint_id& id) { return id == "db-0" ? this->first_proxy : this->second_proxy; }
    soak_proxy& random_instance_proxy() { return this->instance_proxy(this->random_instance()); }
    soak_proxy& random_store_proxy() { return *this->store_proxies[this->random() % this->store_proxies.size()]; }
    soak_host& random_host(random_source& source) { return *this->hosts[source() % this->hosts.size()]; }

    random_source random;  ///< Chooses the faults. A generator of its own, so that a seed's faults do not depend on how often
                           ///< callers connect.
    random_source caller_choices;  ///< Chooses the hosts to which callers connect.
    random_source answer_choices;  ///< Chooses the answers that are repeated, refused or cut.
    int slots;                     ///< Of each instance.
    monotonic_clock time;
    fd_watcher sockets;
    platform_tests::object_store store;
    session_tests::database_model model{"db", {"amman-a", "irbid-a"}};
    platform_tests::wire_instance first_instance{this->sockets, this->model, "db-0"};
    platform_tests::wire_instance second_instance{this->sockets, this->model, "db-1"};
    soak_proxy first_proxy{this->sockets, this->first_instance.address()};
    soak_proxy second_proxy{this->sockets, this->second_instance.address()};
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
    std::vector<std::string> unserved_callers;
    endpoint_id draining;
    instant store_faulty_until;
    instant primary_silent_until;
    std::map<soak_proxy*, instant> hold_ends;  ///< Proxies that hold back data, and until when.
    instant draining_until;
    std::map<endpoint_id, stutter_fault> stutters;  ///< By the instance that stutters.
    endpoint_id refusing;
    result_code refusal = result_code::none;
    instant refusing_until;
    endpoint_id slow;
    instant slow_until;
    instant next_delay;
    endpoint_id cutting;
    instant cutting_until;
    instant next_late_answers;
    instant next_fault;
    instant next_replication;
};

}  // namespace camphorstack::soak
