#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/document/document.hpp"
#include "camphorstack/endpoints/group_actions.hpp"
#include "camphorstack/endpoints/group_connection.hpp"
#include "camphorstack/endpoints/group_instance.hpp"
#include "camphorstack/endpoints/group_promotion.hpp"
#include "camphorstack/endpoints/group_settings.hpp"
#include "camphorstack/endpoints/group_transaction.hpp"
#include "camphorstack/endpoints/unacknowledged_write.hpp"
#include "camphorstack/workspaces/fair_queue.hpp"

namespace camphorstack {

/// What this host does for a database group.
enum class group_duty : std::uint8_t {
    none,     ///< Serves only requests that are forwarded to it nevertheless; opens connections on demand.
    standby,  ///< Keeps one connection to each instance and reserved terms.
    owner,    ///< Polls the instances, keeps connections ready, supervises the primary.
};

/// State of one database group at one host. Owned by the host's task; only the functions below change it.
struct group_state {
    database_id id;
    group_settings settings;
    group_duty duty = group_duty::none;
    instant duty_since;
    std::map<endpoint_id, group_instance> instances;
    std::map<connection_id, group_connection> connections;
    /// The first id is derived from the database's id, so that the groups of one host use different ids.
    connection_id next_connection = 0;
    call_id next_call = 1;
    fair_queue queue;
    std::vector<unacknowledged_write> unacknowledged;
    std::map<std::string, group_transaction> transactions;
    group_primary primary;
    std::optional<group_promotion> promotion;
    std::optional<group_switchover> switchover;
    term_reserve reserve;
    term_number highest_term = 0;          ///< Highest term that any instance reported.
    instant highest_term_since;            ///< When `highest_term` was first reported.
    term_number attempted_term = 0;        ///< Term of the last promotion that this host started.
    int failed_promotions = 0;             ///< Consecutive promotions that were abandoned.
    instant next_promotion;                ///< No promotion starts before this.
    instant next_switchover;               ///< No planned switchover starts before this.
    instant last_in_flight_at;             ///< When this host last had a request in flight.
    instant last_event;                    ///< When this host last handled an event of the group.
    term_number highest_session_term = 0;  ///< Highest term of any session seen; a primary of an earlier term is outdated.
    std::size_t read_rotation = 0;         ///< Spreads reads over equally loaded replicas.
};

/// Sets the group's endpoints and which of them may receive new work (`usable`). If the primary's endpoint may not, a planned
/// switchover moves the primary to another endpoint.
void group_configure(group_state& state, const database& group, const std::set<endpoint_id>& usable, instant now,
                     group_actions& actions);

void group_set_duty(group_state& state, group_duty duty, instant now, group_actions& actions);

/// Submits a request that the entry host `origin` forwarded. Exactly one `reply_to_request` follows.
void group_submit(group_state& state, const host_id& origin, const database_request& request, instant now,
                  group_actions& actions);

void group_connected(group_state& state, connection_id connection, instant now, group_actions& actions);

/// Reports that the connection failed, could not be opened or was closed by the other side.
void group_closed(group_state& state, connection_id connection, instant now, group_actions& actions);

void group_answered(group_state& state, connection_id connection, const endpoint_answer& answer, instant now,
                    group_actions& actions);

/// Delivers the answer to a `reserve_term`: a term that is unique in the fleet, or 0 if the platform did not answer.
void group_term_reserved(group_state& state, term_number term, instant now, group_actions& actions);

void group_tick(group_state& state, instant now, group_actions& actions);

/// Number of submitted requests without a reply and of open transactions.
[[nodiscard]] std::size_t group_in_flight(const group_state& state);

/// State of an instance, as last seen by this host, for status reports.
struct endpoint_view {
    endpoint_id id;
    bool reachable = false;
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;
    log_position position;
    millis replication_age;
    std::size_t open_connections = 0;

    friend bool operator==(const endpoint_view&, const endpoint_view&) = default;
};

[[nodiscard]] std::vector<endpoint_view> group_endpoints(const group_state& state);

}  // namespace camphorstack
