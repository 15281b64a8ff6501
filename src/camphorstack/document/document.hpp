#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Version of the document object at the platform. Only rises.
using document_version = std::uint64_t;

enum class admin_state { in, out };

struct key_hash {
    std::string id;
    std::string sha256;  ///< Lower-case hexadecimal SHA-256 of the key; the key itself is never stored.

    friend bool operator==(const key_hash&, const key_hash&) = default;
};

struct workspace {
    workspace_id id;
    std::vector<key_hash> keys;
    std::int64_t rate_per_s = 0;         ///< Requests per second over all hosts together.
    std::int64_t burst = 0;              ///< Requests above the rate that may run at once, over all hosts together.
    std::vector<std::string> regions{};  ///< Where its requests may run; empty means everywhere.

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// What a read must have seen.
enum class consistency : std::uint8_t {
    primary,            ///< Every acknowledged write.
    bounded_staleness,  ///< Writes acknowledged longer ago than the route's bound.
    read_your_writes,   ///< The same, and every write of the own session.
};

/// How sessions on a route are served. Routes that are used through single requests leave it as it is.
struct session_policy {
    std::string database;  ///< Name that callers connect to; empty for a route without sessions.
    consistency reads = consistency::primary;
    millis max_staleness{0};  ///< Of the two weaker kinds of reads.
    millis statement_timeout{0};
    millis target_latency{0};  ///< Of a whole operation.
    int priority = 0;          ///< 0 is the highest.
    bool needs_key = true;
    std::vector<std::string> regions{};  ///< Where its requests may run; empty means everywhere.

    friend bool operator==(const session_policy&, const session_policy&) = default;
};

/// Lets workspaces reach the databases of one service.
struct route {
    route_id id;
    std::string service;
    std::vector<workspace_id> workspaces;
    workspace_id open_workspace;  ///< When not empty, reads need no key and are charged to this workspace.
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
    std::string address;  ///< IP number and port, "127.0.0.1:7001".
    int slots = 0;        ///< Statements that the instance runs at the same time.
    int connections = 0;  ///< Connections that the instance accepts in total.
    admin_state state = admin_state::in;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// A group of instances that replicate one database.
struct database {
    database_id id;
    std::string service;
    std::vector<endpoint> endpoints;
    int connections_per_endpoint = 0;  ///< Each endpoint accepts this many from all hosts together; 0 if endpoints tell it.
    int synchronous_replicas = 0;      ///< Replicas that have received a write before the primary acknowledges it.

    friend bool operator==(const database&, const database&) = default;
};

/// What operators have accepted: the content of all sections at one version.
struct document {
    document_version version = 0;
    std::vector<workspace> workspaces;      ///< Sections tenancy (keys) and capacity (rates).
    std::vector<route> routes;              ///< Section tenancy.
    std::vector<data_centre> data_centres;  ///< Section data_centres.
    std::vector<database> databases;        ///< Section databases.
    millis transaction_idle_limit{0};       ///< An idle transaction may be ended after this time; 0 means never.

    friend bool operator==(const document&, const document&) = default;
};

[[nodiscard]] const workspace* find_workspace(const document& content, const workspace_id& id);
[[nodiscard]] const route* find_route(const document& content, const route_id& id);
[[nodiscard]] const database* find_database(const document& content, const database_id& id);

/// False for a data centre that operators have taken out; true for one that the document does not name.
[[nodiscard]] bool is_data_centre_in_service(const document& content, const data_centre_id& id);

/// True if the endpoint and its data centre may receive new work.
[[nodiscard]] bool may_receive_work(const document& content, const endpoint& candidate);

}  // namespace camphorstack
