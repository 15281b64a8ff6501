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
    none,     ///< Serves only what is forwarded to it all the same; opens connections on demand.
    standby,  ///< Keeps one connection to each instance and a reserved term.
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
    /// The first id is derived from the database's id, so that groups of one host use different ones.
    connection_id next_connection = 0;
    call_id next_call = 1;
    fair_queue queue;
    std::vector<unacknowledged_write> unacknowledged;
    std::map<std::string, group_transaction> transactions;
    group_primary primary;
    std::optional<group_promotion> promotion;
    std::optional<group_switchover> switchover;
    term_reserve reserve;
    term_number highest_term = 0;    ///< Highest term that any instance reported.
    instant highest_term_since;      ///< When it was first reported.
    term_number attempted_term = 0;  ///< Term of this host's last promotion.
    int failed_promotions = 0;       ///< In a row.
    instant next_promotion;          ///< No promotion starts before this.
    instant next_switchover;         ///< No planned switchover starts before this.
    instant last_in_flight_at;       ///< When a request was last in flight here.
    instant last_event;
    term_number highest_session_term = 0;  ///< Highest term of any session seen here; a primary of an earlier term is outdated.
    std::size_t read_rotation = 0;         ///< Spreads reads over equally loaded replicas.
};

/// Takes over the group's endpoints and which of them may receive new work. The primary of an endpoint that may not
/// receive work is moved by a planned switchover.
void group_configure(group_state& state, const database& group, const std::set<endpoint_id>& usable, instant now,
                     group_actions& actions);

void group_set_duty(group_state& state, group_duty duty, instant now, group_actions& actions);

/// Gives a request of `origin` to the group. Exactly one `reply_to_request` follows.
void group_submit(group_state& state, const host_id& origin, const database_request& request, instant now,
                  group_actions& actions);

void group_connected(group_state& state, connection_id connection, instant now, group_actions& actions);

/// The connection failed, could not be opened or was closed by the other side.
void group_closed(group_state& state, connection_id connection, instant now, group_actions& actions);

void group_answered(group_state& state, connection_id connection, const endpoint_answer& answer, instant now,
                    group_actions& actions);

/// A term was reserved for this host, unique over the fleet; 0 if the platform did not answer.
void group_term_reserved(group_state& state, term_number term, instant now, group_actions& actions);

void group_tick(group_state& state, instant now, group_actions& actions);

/// Requests that were submitted and not yet replied to, open transactions included.
[[nodiscard]] std::size_t group_in_flight(const group_state& state);

/// An instance as this host last saw it, for status pages.
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
