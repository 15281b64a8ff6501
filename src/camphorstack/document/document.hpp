#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Version of the document object at the platform. Only rises.
using document_version = std::uint64_t;

enum class presence { in, out };

struct key_hash {
    std::string id;
    std::string sha256;  ///< Lower-case hexadecimal SHA-256 of the key; the key itself is never stored.

    friend bool operator==(const key_hash&, const key_hash&) = default;
};

struct workspace {
    workspace_id id;
    std::vector<key_hash> keys;
    std::int64_t rate_per_s = 0;  ///< Requests per second over all hosts together.
    std::int64_t burst = 0;       ///< Requests above the rate that may run at once, over all hosts together.

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// Lets workspaces reach the databases of one service.
struct route {
    route_id id;
    std::string service;
    std::vector<workspace_id> workspaces;
    workspace_id open_workspace;  ///< When not empty, reads need no key and are charged to this workspace.

    friend bool operator==(const route&, const route&) = default;
};

struct data_centre {
    data_centre_id id;
    std::string region;
    presence state = presence::in;

    friend bool operator==(const data_centre&, const data_centre&) = default;
};

/// One instance of a database group.
struct endpoint {
    endpoint_id id;
    data_centre_id location;
    std::string address;  ///< IP number and port, "127.0.0.1:7001".
    int slots = 0;        ///< Statements that the instance runs at the same time.
    int connections = 0;  ///< Connections that the instance accepts in total.
    presence state = presence::in;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// A group of instances that replicate one database.
struct database {
    database_id id;
    std::string service;
    std::vector<endpoint> endpoints;

    friend bool operator==(const database&, const database&) = default;
};

/// What operators have accepted: the content of all sections at one version.
struct document {
    document_version version = 0;
    std::vector<workspace> workspaces;      ///< Sections tenancy (keys) and capacity (rates).
    std::vector<route> routes;              ///< Section tenancy.
    std::vector<data_centre> data_centres;  ///< Section data_centres.
    std::vector<database> databases;        ///< Section databases.

    friend bool operator==(const document&, const document&) = default;
};

[[nodiscard]] const workspace* find_workspace(const document& content, const workspace_id& id);
[[nodiscard]] const route* find_route(const document& content, const route_id& id);
[[nodiscard]] const database* find_database(const document& content, const database_id& id);

/// False for a data centre that operators have taken out; true for one that the document does not name.
[[nodiscard]] bool is_data_centre_in(const document& content, const data_centre_id& id);

/// True if the endpoint and its data centre may receive new work.
[[nodiscard]] bool may_receive_work(const document& content, const endpoint& candidate);

}  // namespace camphorstack
