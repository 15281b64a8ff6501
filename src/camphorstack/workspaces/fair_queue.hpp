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

/// A request that waits at the owner of its database.
struct waiting_request {
    host_id origin;
    database_request request;
    instant arrived;
    instant deadline;
    bool sent = false;           ///< Was written to a connection before, so `not_run` would be a guess.
    bool retried = false;        ///< Was moved to another connection once already.
    bool needs_primary = false;  ///< A replica proved too far behind; only the primary may answer.

    friend bool operator==(const waiting_request&, const waiting_request&) = default;
};

/// Requests waiting at one database's owner, in deficit round robin order over workspaces. Every request costs the same, so the
/// deficit is one request in each round.
struct fair_queue {
    std::size_t limit_per_workspace = 256;
    std::map<workspace_id, std::deque<waiting_request>> waiting;
    std::deque<workspace_id> round_robin;  ///< Workspaces with waiting requests, next one first.
};

/// False if the workspace's queue is full.
bool push_request(fair_queue& queue, waiting_request item);

/// Puts back a request that was taken out and could not run, as the first one of its workspace. The limit does not apply.
void requeue_request(fair_queue& queue, waiting_request item);

/// Removes and returns the next request that `can_run` accepts, in fair order. Requests of one workspace that cannot run yet
/// do not block later ones of the same workspace.
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
