#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/session_host/session_host.hpp"
#include "camphorstack/session_host/session_host_state.hpp"
#include "session_fleet/database_model.hpp"
#include "session_fleet/store_model.hpp"

namespace camphorstack::session_tests {

/// Size and timing of the simulated fleet.
struct fleet_options {
    std::vector<data_centre_id> hosts{"amman-a", "amman-a", "amman-a", "irbid-a",
                                      "irbid-a", "aqaba-a", "aqaba-a"};  ///< Data centre of each.
    std::size_t databases = 3;
    std::size_t workspaces = 8;
    std::int64_t rate_per_s = 1000;
    std::int64_t burst = 1000;
    millis service_time{5};
    millis replication_time{8};
    millis promote_time{300};
    int connections = 16;
    int synchronous_replicas = 0;
    millis statement_timeout{800};
    millis stop_grace{6000};  ///< Time from the request to stop a host until it is killed.
    std::uint64_t seed = 1;
    usage_settings usage = {};  ///< No usage is reported if it names no window.
};

/// A usage report that the platform received.
struct received_usage {
    std::int64_t unix_ms = 0;  ///< True time of its arrival.
    usage_call call;
};

/// An answer that a caller received.
struct received_answer {
    instant asked;
    instant at;
    std::string statement_id;
    answer_statement answer;
};

/// A caller with one session.
struct test_caller {
    session_id id = 0;
    host_id host;
    bool accepted = false;
    bool closed = false;
    instant closed_at;  ///< When the host closed the session.
    std::optional<result_code> rejected;
    std::map<std::string, instant> asked;  ///< Send time of each statement without an answer, by id.
    std::vector<std::string> order;        ///< Ids of the statements without an answer, in the order of sending.
    std::vector<received_answer> answers;
};

/// Simulation of session hosts, databases and the store in one process with a manual clock. Messages are delayed and can be lost.
class session_fleet {
public:
    explicit session_fleet(fleet_options options = {});
    session_fleet(const session_fleet&) = delete;
    session_fleet& operator=(const session_fleet&) = delete;
    session_fleet(session_fleet&&) = delete;
    session_fleet& operator=(session_fleet&&) = delete;
    ~session_fleet() = default;

    void run_for(millis span);
    /// Runs until the condition holds. Returns false if it does not hold within `limit`.
    bool run_until(const std::function<bool()>& holds, millis limit);

    /// Requests a session. `caller(id).accepted` is true once the host has accepted it.
    session_id connect(const host_id& host, const std::string& database, const std::string& key);
    /// Opens a session on a route to the first database. Fails the test if the host does not accept it.
    session_id open_session(const host_id& host, consistency kind, std::size_t workspace = 0);
    void send(session_id session, statement requested);
    /// Sends a statement and runs until it is answered. Fails the test if there is no answer within `limit`.
    answer_statement ask(session_id session, statement requested, millis limit = millis{5000});
    test_caller& caller(session_id session) { return this->callers.at(session); }

    void kill_host(const host_id& host);
    /// Kills a host whose connections the instances notice only after `dark_connection_time`.
    void cut_power(const host_id& host);
    void start_host(const host_id& host);
    void stop_host(const host_id& host);
    void kill_instance(const endpoint_id& endpoint);
    /// Cuts the network between two nodes: messages are lost, and calls fail or get no answer. "store" and "platform" name the
    /// store and the promotion service.
    void cut(const std::string& a, const std::string& b);
    void isolate(const std::string& node);             ///< Cuts a node off from everything but its callers.
    void cut_from_hosts(const endpoint_id& endpoint);  ///< Cuts an instance off from all hosts.
    void heal();                                       ///< Removes all cuts.
    [[nodiscard]] bool is_cut(const std::string& a, const std::string& b) const;

    [[nodiscard]] session_host_state& host(const host_id& id) { return *this->hosts.at(id).state; }
    [[nodiscard]] database_model& database(std::size_t i) { return *this->databases.at(i); }
    [[nodiscard]] instant now() const { return this->time; }
    [[nodiscard]] std::size_t ready_hosts() const;
    /// Returns the database name that callers connect to for a database and a consistency.
    [[nodiscard]] static std::string route_name(std::size_t database, consistency kind);
    [[nodiscard]] static std::string key_of(std::size_t workspace) { return "key-" + std::to_string(workspace); }
    [[nodiscard]] document current_document() const { return this->current; }
    /// Writes a document to the store.
    void publish(document content);

    store_model store;
    std::vector<promotion_call> promotions;
    std::vector<received_usage> usages;
    bool usage_answers_lost = false;         ///< The platform takes usage reports, but its answers are lost.
    std::map<host_id, millis> clock_errors;  ///< Of the hosts' wall clocks.
    /// Returns the true time in milliseconds since the start of 1970.
    [[nodiscard]] std::int64_t unix_ms() const { return true_offset + this->time.since_start; }
    std::set<endpoint_id> lagging;  ///< Instances that do not replicate.
    std::vector<std::string> log;   ///< Decision log: "TIME HOST KIND TEXT" for each entry.
    bool store_is_down = false;
    std::map<host_id, millis> link_delays;  ///< Extra delay of everything that is sent to a host, except by instances.
    /// Instances send this share of their answers once more, up to `longest_repetition` later.
    int repeated_answers_percent = 0;
    millis longest_repetition{300};
    millis dark_connection_time{3000};   ///< For how long instances hold connections of hosts that have lost power.
    int refused_statements_percent = 0;  ///< Share of statements outside of transactions that instances refuse as busy.
    bool repeats_answers = false;        ///< Answers between hosts arrive again later.
    bool cuts_reset = false;  ///< Endpoints behind a cut reset and refuse connections at once, instead of not answering.

private:
    /// True time at the start of the hosts' steady clocks; the start of a window of 5 s, and of one of 2 s.
    static constexpr std::int64_t true_offset = 1'700'000'000'000;

    struct running_host {
        session_host_handle state;
        bool alive = false;
        std::uint64_t process = 0;  ///< Number of the current process; events for an earlier one are dropped.
    };
    struct endpoint_connection {
        host_id host;
        endpoint_id endpoint;
        std::uint64_t process = 0;
    };
    struct scheduled {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
    };
    struct is_later {
        bool operator()(const scheduled& a, const scheduled& b) const {
            return std::pair(a.at.since_start, a.order) > std::pair(b.at.since_start, b.order);
        }
    };

    void end_host(const host_id& host, millis connection_delay);
    void after(millis delay, std::function<void()> run);
    void deliver(const host_id& host, std::uint64_t process, session_host_event event);
    void deliver_after(millis delay, const host_id& host, session_host_event event);
    void step_host(const host_id& host, const session_host_event& event);
    void tick_host(const host_id& host, std::uint64_t process);
    void replicate_all();
    void refresh_entries();
    millis delay_between(const std::string& a, const std::string& b) const;
    [[nodiscard]] millis link_delay(const host_id& host) const;
    session_host_settings settings_of(const host_id& host) const;
    instance_model* find_instance(const endpoint_id& endpoint, database_model** owner);

    void carry_out(const host_id& host, const session_host_action& action);
    void carry_out(const host_id& host, const open_endpoint_connection& action);
    void carry_out(const host_id& host, const close_endpoint_connection& action);
    void carry_out(const host_id& host, const send_endpoint_statements& action);
    void carry_out(const host_id& host, const catalog_call& action);
    void carry_out(const host_id& host, const promotion_call& action);
    void carry_out(const host_id& host, const usage_call& action);
    void carry_out(const host_id& host, const send_to_peer& action);

    endpoint_reply reply_of(database_model& owner, instance_model& instance, connection_id number,
                            const endpoint_statement& requested);
    void deliver_reply(const std::pair<host_id, connection_id>& key, std::uint64_t process, const endpoint_reply& reply,
                       const endpoint_id& endpoint, millis delay);

    fleet_options options;
    random_source misbehaviour;  ///< Chooses the answers that are repeated and the statements that are refused.
    instant time{1000000};
    std::uint64_t next_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, is_later> queue;
    std::map<host_id, data_centre_id> locations;
    std::map<host_id, running_host> hosts;
    std::vector<std::unique_ptr<database_model>> databases;
    std::map<std::pair<host_id, connection_id>, endpoint_connection> connections;
    std::map<std::pair<host_id, connection_id>, instant> busy_until;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<session_id, test_caller> callers;
    session_id next_session = 1;
    document current;
};

[[nodiscard]] statement read_statement(const std::string& id, const std::string& item);
[[nodiscard]] statement write_statement(const std::string& id, const std::string& item, const std::string& data);
[[nodiscard]] statement plain_statement(const std::string& id, statement_kind kind, const std::string& text);

}  // namespace camphorstack::session_tests
