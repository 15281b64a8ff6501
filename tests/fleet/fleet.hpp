#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/hosts/host.hpp"
#include "camphorstack/hosts/host_report.hpp"
#include "stand_ins/instance_model.hpp"
#include "stand_ins/platform_model.hpp"

namespace camphorstack::fleet_tests {

/// Sizes and latencies of a deployment, see docs/design.md.
struct fleet_options {
    std::size_t hosts = 8;
    std::size_t databases = 3;
    std::vector<std::string> data_centres{"amman-a", "irbid-a", "aqaba-a"};
    int slots = 2;
    int connections = 16;
    int workspaces = 8;
    std::int64_t rate_per_s = 2000;  ///< Rate limit of each workspace.
    std::int64_t burst = 200;
    millis data_centre_latency{1};
    millis platform_latency{1};
    millis connect_delay{12};
    millis service_time{1};
    millis replication_lag{5};
    std::uint64_t seed = 1;
};

/// Options for deployments of the sizes of the Authority and of Reparoo.
[[nodiscard]] fleet_options authority_options(std::uint64_t seed);
[[nodiscard]] fleet_options reparoo_options(std::uint64_t seed);

/// A node of the simulated network: a host, an instance or the platform.
struct node {
    std::string id;
    std::string location;
    bool alive = true;
    bool frozen = false;
    std::vector<std::function<void()>> deferred;  ///< Deliveries that wait until the node is unfrozen.
};

/// One connection between a host and an instance.
struct simulated_connection {
    host_id host;
    endpoint_id target;
    bool accepted = false;
    bool is_blackholed = false;  ///< Traffic in both directions is dropped without an error.
};

/// Simulates hosts, instances and the platform in one process with a manual clock. Messages are delayed, and are dropped between
/// nodes that are cut off from each other.
class fleet {
public:
    explicit fleet(fleet_options options);

    [[nodiscard]] instant now() const { return this->time; }
    void run_for(millis span);

    /// Runs a function after `delay`. Used for callers and faults.
    void schedule(millis delay, std::function<void()> run) { this->add_event(delay, std::move(run)); }

    /// Sends a caller's request to a host. `done` gets the reply, or the outcome unknown if the host is killed before it replies.
    void call(const host_id& host, caller_request request, std::function<void(const caller_reply&)> done);
    /// Makes a request with the workspace's API key, the route and the database filled in.
    [[nodiscard]] caller_request request(int workspace, int database, request_kind kind, const std::string& statement);

    void kill(const std::string& id);
    void restart_host(const host_id& id);
    void restart_instance(const endpoint_id& id);
    void freeze(const std::string& id);
    void unfreeze(const std::string& id);
    /// Drops messages between two nodes, or between one node and all others if `other` is empty. The platform is the node
    /// "platform".
    void cut(const std::string& id, const std::string& other = "");
    /// Ends all cuts.
    void heal();
    void set_platform_down(bool down) { this->platform_down = down; }
    /// Makes the next write at the platform take effect without an answer.
    void lose_next_platform_write_answer() { this->loses_next_write_answer = true; }
    /// Requests a graceful stop of a host.
    void stop(const host_id& id);
    [[nodiscard]] bool has_stopped(const host_id& id) const { return this->stopped.contains(id); }
    /// Drops all traffic on the present connections of the host to the instance without an error. New connections work.
    void blackhole_connections(const host_id& host, const endpoint_id& target);

    /// Replaces one section of the document as an operator does, and returns the new document version.
    document_version apply(const std::string& section, const std::string& content);
    [[nodiscard]] std::string data_centres_section(const std::string& out_id) const;
    [[nodiscard]] std::string databases_section(const std::string& out_id) const;
    [[nodiscard]] std::string tenancy_section(int withdrawn_workspace) const;

    [[nodiscard]] std::vector<host_id> live_hosts() const;
    [[nodiscard]] host_id host(std::size_t index) const;
    [[nodiscard]] endpoint_id primary_of(int database) const;
    [[nodiscard]] host_id owner_of_database(int database) const;
    [[nodiscard]] const stand_ins::instance_model& instance(const endpoint_id& id) const { return this->instances.at(id); }
    [[nodiscard]] host_report report_of(const host_id& id) const;
    [[nodiscard]] const stand_ins::platform_model& platform() const { return this->store; }
    /// Called when an instance receives a call, so that tests can check what endpoints receive.
    std::function<void(const endpoint_id&, const endpoint_call&)> on_endpoint_call;
    /// Called for each peer message that is sent, so that tests can count messages.
    std::function<void(const peer_message&)> on_peer_message;

    static std::string key_of(int workspace);
    static std::string workspace_name(int workspace);
    static std::string database_name(int database);

private:
    struct scheduled_event {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        friend bool operator>(const scheduled_event& a, const scheduled_event& b) {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void add_event(millis delay, std::function<void()> run);
    /// Runs a function at the receiver after the latency of the network. The function is dropped if the nodes are cut off from
    /// each other or the receiver is no longer alive when it arrives, and deferred while the receiver is frozen.
    void deliver(const std::string& from, const std::string& to, std::function<void()> run);
    void run_on_node(const std::string& id, std::function<void()> run);
    [[nodiscard]] bool is_cut(const std::string& a, const std::string& b) const;
    [[nodiscard]] millis latency(const std::string& a, const std::string& b);
    void start_host(const host_id& id);
    void tick_host(const host_id& id, std::uint64_t incarnation);
    void step_host(const host_id& id, const host_event& event);
    void carry_out(const host_id& id, const host_actions& actions);
    void open(const host_id& id, const open_connection& action);
    void send(const host_id& id, const send_call& action);
    void arrive(const host_id& id, const send_call& action);
    void run_slot(const endpoint_id& id);
    void answer(const host_id& id, const send_call& action);
    void send_message(const host_id& id, const send_to_peer& action);
    void call_platform(const host_id& id, const platform_call& call);
    void close_connections(const std::string& id);
    void replicate(const endpoint_id& id);
    [[nodiscard]] std::size_t accepted_connections(const endpoint_id& id) const;

    fleet_options options;
    random_source random;
    instant time{1000};
    std::uint64_t next_order = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> events;
    std::map<std::string, node> nodes;
    std::map<host_id, host_handle> hosts;
    std::map<host_id, std::uint64_t> incarnations;
    std::map<endpoint_id, stand_ins::instance_model> instances;
    std::map<std::string, endpoint_id> by_address;
    std::map<endpoint_id, int> busy_slots;
    std::map<endpoint_id, std::vector<std::pair<host_id, send_call>>> slot_queue;
    std::map<std::pair<host_id, connection_id>, simulated_connection> connections;
    std::map<std::pair<host_id, connection_id>, std::uint64_t> connection_numbers;
    std::map<std::pair<host_id, host_id>, instant> last_arrivals;  ///< Latest arrival by link, to keep messages in order.
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::pair<host_id, std::uint64_t>, std::function<void(const caller_reply&)>> callers;
    std::set<host_id> stopped;
    stand_ins::platform_model store;
    std::map<std::string, std::uint64_t> platform_caller_numbers;
    std::map<std::uint64_t, host_id> platform_callers;
    std::uint64_t next_request_number = 1;
    bool platform_down = false;
    bool loses_next_write_answer = false;
};

}  // namespace camphorstack::fleet_tests
