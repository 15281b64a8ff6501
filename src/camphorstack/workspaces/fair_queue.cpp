#include "camphorstack/workspaces/fair_queue.hpp"

#include <utility>

namespace camphorstack {

bool push_request(fair_queue& queue, waiting_request item) {
    const auto found = queue.waiting.find(item.request.workspace);
    const std::size_t length = found == queue.waiting.end() ? 0 : found->second.size();
    if (length >= queue.limit_per_workspace) {
        return false;
    }
    lane_for(queue, item.request.workspace).push_back(std::move(item));
    return true;
}

void requeue_request(fair_queue& queue, waiting_request item) {
    lane_for(queue, item.request.workspace).push_front(std::move(item));
}

std::vector<waiting_request> pop_expired(fair_queue& queue, instant now) {
    return remove_matching(queue, [now](const waiting_request& item) { return item.deadline <= now; });
}

std::size_t queued_requests(const fair_queue& queue) {
    std::size_t count = 0;
    for (const auto& [workspace, items] : queue.waiting) {
        count += items.size();
    }
    return count;
}

}  // namespace camphorstack
