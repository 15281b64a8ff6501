#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/document/document.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

/// A host in the member list of another host. The state is the text of the status page.
struct listed_member {
    member subject;
    std::string state;

    friend bool operator==(const listed_member&, const listed_member&) = default;
};

struct endpoint_status {
    endpoint_id id;
    bool reachable = false;
    std::string role;
    term_number term = 0;
    log_position position;
    std::int64_t replication_age_ms = 0;
    std::int64_t open_connections = 0;

    friend bool operator==(const endpoint_status&, const endpoint_status&) = default;
};

struct database_status {
    database_id id;
    host_id owner;
    host_id standby;
    std::string duty;  ///< Duty of the reporting host for this database.
    std::int64_t in_flight = 0;
    std::vector<endpoint_status> endpoints;

    friend bool operator==(const database_status&, const database_status&) = default;
};

struct workspace_status {
    workspace_id id;
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;
    std::uint64_t admitted = 0;
    std::map<std::string, std::uint64_t> refused;  ///< Number of refused requests by reason.

    friend bool operator==(const workspace_status&, const workspace_status&) = default;
};

struct data_centre_status {
    data_centre_id id;
    std::string region;
    std::string state;

    friend bool operator==(const data_centre_status&, const data_centre_status&) = default;
};

/// One host's answer to GET /v1/status.
struct host_status {
    host_id id;
    data_centre_id location;
    document_version version = 0;
    std::string serving;  ///< "recent" if the host serves callers, else the reason why not.
    bool leaving = false;
    std::vector<listed_member> hosts;
    std::vector<data_centre_status> data_centres;
    std::vector<database_status> databases;
    std::vector<workspace_status> workspaces;

    friend bool operator==(const host_status&, const host_status&) = default;
};

/// One decision from a host's answer to GET /v1/explain.
struct explained_decision {
    host_id host;
    std::int64_t age_ms = 0;  ///< Age at the time when the host answered.
    std::string kind;
    std::string subject;
    std::string observations;

    friend bool operator==(const explained_decision&, const explained_decision&) = default;
};

struct host_explanation {
    host_id id;
    std::vector<explained_decision> decisions;
    std::map<std::string, std::uint64_t> refused;

    friend bool operator==(const host_explanation&, const host_explanation&) = default;
};

/// Parses a host's answer. Returns nothing if the body is not JSON with at least the host's id. Missing members keep their
/// defaults, so that hosts of the previous or next release can be shown during an upgrade.
[[nodiscard]] std::optional<host_status> parse_host_status(const std::string& body);
[[nodiscard]] std::optional<host_explanation> parse_host_explanation(const std::string& body);

}  // namespace camphorstack
