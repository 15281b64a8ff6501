#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Version of the document object in the platform's store. It increases with every change.
using document_version = std::uint64_t;

/// State that operators set: `out` takes a data centre or an endpoint out of service.
enum class admin_state { in, out };

struct key_hash {
    std::string id;
    std::string sha256;  ///< Lower-case hexadecimal SHA-256 of the key; the key itself is never stored.

    friend bool operator==(const key_hash&, const key_hash&) = default;
};

struct workspace {
    workspace_id id;
    std::vector<key_hash> keys;
    std::int64_t rate_per_s = 0;         ///< Requests per second, summed over all hosts.
    std::int64_t burst = 0;              ///< Requests above the rate that may run at once, summed over all hosts.
    std::vector<std::string> regions{};  ///< Regions in which its requests may run; empty means all regions.

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// Consistency level of a read: the writes that the read must reflect.
enum class consistency : std::uint8_t {
    primary,            ///< Every acknowledged write.
    bounded_staleness,  ///< Every write that was acknowledged longer ago than the route's `max_staleness`.
    read_your_writes,   ///< As `bounded_staleness`, and every earlier write of the same session.
};

/// Settings of sessions on a route. Routes that serve only single requests keep the defaults.
struct session_policy {
    std::string database;  ///< Database name that callers connect to; empty for a route without sessions.
    consistency reads = consistency::primary;
    millis max_staleness{0};  ///< Staleness bound for `bounded_staleness` and `read_your_writes`.
    millis statement_timeout{0};
    millis target_latency{0};  ///< Target for the latency of a whole operation.
    int priority = 0;          ///< 0 is the highest priority.
    bool needs_key = true;
    std::vector<std::string> regions{};  ///< Regions in which its requests may run; empty means all regions.

    friend bool operator==(const session_policy&, const session_policy&) = default;
};

/// Gives workspaces access to the databases of one service.
struct route {
    route_id id;
    std::string service;
    std::vector<workspace_id> workspaces;
    workspace_id open_workspace;  ///< If not empty, reads need no key and count against the limits of this workspace.
    session_policy sessions{};

    friend bool operator==(const route&, const route&) = default;
};

struct data_centre {
    data_centre_id id;
    std::string region;
    admin_state state = admin_state::in;

    friend bool operator==(const data_centre&, const data_centre&) = default;
};

/// One instance of a database group.
struct endpoint {
    endpoint_id id;
    data_centre_id location;
    std::string address;  ///< IP address and port, such as "127.0.0.1:7001".
    int slots = 0;        ///< Maximum number of statements that the instance runs concurrently.
    int connections = 0;  ///< Maximum number of connections that the instance accepts in total.
    admin_state state = admin_state::in;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// A group of instances that replicate one database.
struct database {
    database_id id;
    std::string service;
    std::vector<endpoint> endpoints;
    int connections_per_endpoint =
        0;  ///< Connections that each endpoint accepts from all hosts together; 0 if each endpoint states its own.
    int synchronous_replicas = 0;  ///< Number of replicas that must have received a write before the primary acknowledges it.

    friend bool operator==(const database&, const database&) = default;
};

/// The configuration that operators have applied: the content of all sections at one version.
struct document {
    document_version version = 0;
    std::vector<workspace> workspaces;      ///< From the sections tenancy (keys) and capacity (rates).
    std::vector<route> routes;              ///< From the section tenancy.
    std::vector<data_centre> data_centres;  ///< From the section data_centres.
    std::vector<database> databases;        ///< From the section databases.
    millis transaction_idle_limit{0};       ///< Idle time after which a transaction may be ended; 0 means no limit.

    friend bool operator==(const document&, const document&) = default;
};

/// Look up an object by its id. Return null if the document does not contain it.
[[nodiscard]] const workspace* find_workspace(const document& content, const workspace_id& id);
[[nodiscard]] const route* find_route(const document& content, const route_id& id);
[[nodiscard]] const database* find_database(const document& content, const database_id& id);

/// Returns false if operators have taken the data centre out of service. Returns true if the document does not contain it.
[[nodiscard]] bool is_data_centre_in_service(const document& content, const data_centre_id& id);

/// Returns true if both the endpoint and its data centre are in service, so that the endpoint may receive new work.
[[nodiscard]] bool may_receive_work(const document& content, const endpoint& candidate);

}  // namespace camphorstack
