#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/hosts/request.hpp"
#include "camphorstack/support/clock.hpp"

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

/// Requests queued at the owner of one database, served in deficit round-robin order over workspaces. Every request costs the
/// same, so the quantum is one request per round.
struct fair_queue {
    std::size_t limit_per_workspace = 256;
    std::map<workspace_id, std::deque<waiting_request>> waiting;
    std::deque<workspace_id> round_robin;  ///< Workspaces with waiting requests, in the order of their turns.
};

/// Appends a request to its workspace's queue. False if that queue is full.
bool push_request(fair_queue& queue, waiting_request item);

/// Puts a popped request that could not run back at the head of its workspace's queue. `limit_per_workspace` does not apply.
void requeue_request(fair_queue& queue, waiting_request item);

/// Removes and returns the next request in round-robin order that `can_run` accepts. Requests of one workspace that cannot run
/// yet do not block later requests of the same workspace.
template <typename Predicate>
std::optional<waiting_request> pop_request(fair_queue& queue, Predicate can_run) {
    for (std::size_t turn = 0; turn < queue.round_robin.size(); ++turn) {
        const workspace_id workspace = queue.round_robin.front();
        queue.round_robin.pop_front();
        auto& items = queue.waiting[workspace];
        for (auto item = items.begin(); item != items.end(); ++item) {
            if (!can_run(*item)) {
                continue;
            }
            waiting_request result = std::move(*item);
            items.erase(item);
            if (items.empty()) {
                queue.waiting.erase(workspace);
            } else {
                queue.round_robin.push_back(workspace);
            }
            return result;
        }
        queue.round_robin.push_back(workspace);
    }
    return std::nullopt;
}

/// Removes and returns the requests whose deadline has passed.
std::vector<waiting_request> pop_expired(fair_queue& queue, instant now);

std::size_t queued_requests(const fair_queue& queue);

}  // namespace camphorstack
