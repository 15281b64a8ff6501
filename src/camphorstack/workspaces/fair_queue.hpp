#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "camphorstack/hosts/request.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/workspaces/fair_lanes.hpp"

namespace camphorstack {

/// A request queued at the owner of its database.
struct waiting_request {
    host_id origin;
    database_request request;
    instant arrived;
    instant deadline;
    bool sent = false;           ///< Was written to a connection, so it may have run and must not be answered `not_run`.
    bool retried = false;        ///< Was moved to another connection once.
    bool needs_primary = false;  ///< Must run at the primary because a replica lagged too far behind.

    friend bool operator==(const waiting_request&, const waiting_request&) = default;
};

/// Requests queued at the owner of one database.
struct fair_queue : fair_lanes<waiting_request> {
    std::size_t limit_per_workspace = 256;
};

/// Appends a request to its workspace's queue. False if that queue is full.
bool push_request(fair_queue& queue, waiting_request item);

/// Puts a popped request that could not run back at the head of its workspace's queue. `limit_per_workspace` does not apply.
void requeue_request(fair_queue& queue, waiting_request item);

/// Removes and returns the next request in round-robin order that `can_run` accepts. Requests of one workspace that cannot run
/// yet do not block later requests of the same workspace.
template <typename Predicate>
std::optional<waiting_request> pop_request(fair_queue& queue, Predicate can_run) {
    std::optional<waiting_request> result;
    take_next(queue, [&](waiting_request& item) {
        if (can_run(std::as_const(item))) {
            result = std::move(item);
        }
        return result.has_value();
    });
    return result;
}

/// Removes and returns the requests whose deadline has passed.
std::vector<waiting_request> pop_expired(fair_queue& queue, instant now);

std::size_t queued_requests(const fair_queue& queue);

}  // namespace camphorstack
