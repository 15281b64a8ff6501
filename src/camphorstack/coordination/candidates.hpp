#pragma once

#include <optional>
#include <vector>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Returns the endpoints that may succeed the leader: they take new work, and the platform has not refused their promotion.
[[nodiscard]] std::vector<endpoint_id> candidates_of(const session_host_state& state, const leader_change& change);

/// Returns all other endpoints of the database. An endpoint that takes no new work still receives the log and may be the only
/// one that has a write.
[[nodiscard]] std::vector<endpoint_id> replicas_of(const session_host_state& state, const leader_change& change);

/// Returns the highest term that an endpoint of the database has reported; 0 if none has.
[[nodiscard]] term_number newest_term(const session_host_state& state, const database_id& database);

/// Returns true if the endpoint is a primary by its own view, of an earlier term than the newest one. Its log may hold writes
/// that were dropped by the promotion of another endpoint; they must not return.
[[nodiscard]] bool is_former_primary(const session_host_state& state, const leader_change& change, const endpoint_id& id);

/// Returns the endpoints without former primaries. Returns all of them if no other endpoint has answered within the time to catch
/// up, the old leader included.
[[nodiscard]] std::vector<endpoint_id> without_former_primaries(const session_host_state& state, const leader_change& change,
                                                                const std::vector<endpoint_id>& endpoints, millis elapsed);

/// Returns the endpoint's status, requested after the hosts' work has ended; null if it is not known.
[[nodiscard]] const endpoint_self_report* status_of(const leader_change& change, const endpoint_id& endpoint);

/// Returns the number of endpoints whose status is known.
[[nodiscard]] std::size_t count_known(const leader_change& change, const std::vector<endpoint_id>& endpoints);

/// Returns the endpoint that has received most of the log. An endpoint that is already the primary of a later term comes first.
/// A former primary that does not know of its replacement is still a primary by its own view, but of an earlier term than the
/// entries that others have received.
[[nodiscard]] std::optional<endpoint_id> best_candidate(const leader_change& change, const std::vector<endpoint_id>& candidates);

/// Returns the number of replicas that must have received a write before the primary acknowledges it; 0 for none.
[[nodiscard]] std::size_t synchronous_replicas_of(const session_host_state& state, const database_id& database);

/// Returns the endpoint to promote of a database with synchronous replicas; nothing as long as none is known to have every
/// acknowledged write. Prefers an endpoint that takes new work, then the old leader if it is still the primary. A replica that
/// takes no new work, for example a draining one, is returned only if no other endpoint has all writes.
[[nodiscard]] std::optional<endpoint_id> choose_synchronous_candidate(const session_host_state& state,
                                                                      const leader_change& change, millis elapsed);

}  // namespace camphorstack
