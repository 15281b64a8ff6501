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

struct fleet_options {
    std::vector<data_centre_id> hosts{"amman-a", "amman-a", "amman-a", "irbid-a", "irbid-a", "aqaba-a", "aqaba-a"};
    std::size_t databases = 3;
    std::size_t workspaces = 8;
    std::int64_t rate_per_s = 1000;
    std::int64_t burst = 1000;
    millis service_time{5};
    millis replication_time{8};
    millis promote_time{300};
    int connections = 16;
    std::uint64_t seed = 1;
};

/// What a caller was told.
struct received_answer {
    instant asked;
    instant at;
    std::string statement_id;
    answer_statement answer;
};

/// A caller's session.
struct test_caller {
    session_id id = 0;
    host_id host;
    bool accepted = false;
    bool closed = false;
    std::optional<result_code> rejected;
    std::map<std::string, instant> asked;  ///< Statements without an answer.
    std::vector<std::string> order;        ///< Their ids.
    std::vector<received_answer> told;
};

/// Session hosts, databases and the store in one process on a manual clock. Messages have delays and may be cut.
class session_fleet {
public:
    explicit session_fleet(fleet_options options = {});
    session_fleet(const session_fleet&) = delete;
    session_fleet& operator=(const session_fleet&) = delete;
    session_fleet(session_fleet&&) = delete;
    session_fleet& operator=(session_fleet&&) = delete;
    ~session_fleet() = default;

    void run_for(millis span);
    /// False if the condition does not hold within `limit`.
    bool run_until(const std::function<bool()>& holds, millis limit);

    /// Opens a session; `caller` tells when it is accepted.
    session_id connect(const host_id& host, const std::string& database, const std::string& key);
    void send(session_id session, statement wanted);
    /// Sends a statement and runs until it is answered. Fails the test if it is not within `limit`.
    answer_statement ask(session_id session, statement wanted, millis limit = millis{5000});
    test_caller& caller(session_id session) { return this->callers.at(session); }

    void kill_host(const host_id& host);
    void start_host(const host_id& host);
    void stop_host(const host_id& host);
    void kill_instance(const endpoint_id& endpoint);
    void cut(const std::string& a, const std::string& b);  ///< Silently; "store" names the store, "platform" the promotion call.
    void isolate(const std::string& node);                 ///< From everything but callers.
    void heal();
    [[nodiscard]] bool is_cut(const std::string& a, const std::string& b) const;

    [[nodiscard]] session_host_state& host(const host_id& id) { return *this->hosts.at(id).state; }
    [[nodiscard]] database_model& database(std::size_t i) { return *this->databases.at(i); }
    [[nodiscard]] instant now() const { return this->time; }
    [[nodiscard]] std::size_t ready_hosts() const;
    /// Name that callers connect to, of a database and a kind of route.
    [[nodiscard]] static std::string route_name(std::size_t database, consistency kind);
    [[nodiscard]] static std::string key_of(std::size_t workspace) { return "key-" + std::to_string(workspace); }
    [[nodiscard]] document current_document() const { return this->current; }
    void publish(document content);

    store_model store;
    std::vector<promotion_call> promotions;
    std::set<endpoint_id> lagging;  ///< Replicas that receive nothing.
    std::vector<std::string> log;   ///< "TIME HOST KIND TEXT" of each decision.
    bool store_is_down = false;

private:
    struct running_host {
        session_host_handle state;
        bool alive = false;
        std::uint64_t process = 0;  ///< Deliveries to an earlier process are dropped.
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
    struct later_first {
        bool operator()(const scheduled& a, const scheduled& b) const {
            return std::pair(a.at.since_start, a.order) > std::pair(b.at.since_start, b.order);
        }
    };

    void after(millis delay, std::function<void()> run);
    void deliver(const host_id& host, std::uint64_t process, session_host_event event);
    void deliver_after(millis delay, const host_id& host, session_host_event event);
    void step_host(const host_id& host, const session_host_event& event);
    void tick_host(const host_id& host, std::uint64_t process);
    void replicate_all();
    void refresh_entries();
    millis delay_between(const std::string& a, const std::string& b) const;
    session_host_settings settings_of(const host_id& host) const;
    instance_model* find_instance(const endpoint_id& endpoint, database_model** owner);

    void carry_out(const host_id& host, const session_host_action& action);
    void carry_out(const host_id& host, const open_endpoint_connection& action);
    void carry_out(const host_id& host, const close_endpoint_connection& action);
    void carry_out(const host_id& host, const send_endpoint_statements& action);
    void carry_out(const host_id& host, const catalog_call& action);
    void carry_out(const host_id& host, const promotion_call& action);
    void carry_out(const host_id& host, const send_to_peer& action);

    fleet_options options;
    instant time{1000000};
    std::uint64_t next_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, later_first> queue;
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
