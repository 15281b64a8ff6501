#include "camphorstack/workspaces/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack {

namespace {

std::deque<waiting_request>& queue_of(fair_queue& queue, const workspace_id& id) {
    auto& items = queue.waiting[id];
    if (items.empty()) {
        queue.round_robin.push_back(id);
    }
    return items;
}

}  // namespace

bool push_request(fair_queue& queue, waiting_request item) {
    const auto found = queue.waiting.find(item.request.workspace);
    const std::size_t length = found == queue.waiting.end() ? 0 : found->second.size();
    if (length >= queue.limit_per_workspace) {
        return false;
    }
    queue_of(queue, item.request.workspace).push_back(std::move(item));
    return true;
}

void requeue_request(fair_queue& queue, waiting_request item) {
    queue_of(queue, item.request.workspace).push_front(std::move(item));
}

std::vector<waiting_request> pop_expired(fair_queue& queue, instant now) {
    std::vector<waiting_request> expired;
    for (auto entry = queue.waiting.begin(); entry != queue.waiting.end();) {
        auto& items = entry->second;
        const auto first =
            std::stable_partition(items.begin(), items.end(), [now](const waiting_request& item) { return item.deadline > now; });
        std::move(first, items.end(), std::back_inserter(expired));
        items.erase(first, items.end());
        if (items.empty()) {
            std::erase(queue.round_robin, entry->first);
            entry = queue.waiting.erase(entry);
        } else {
            ++entry;
        }
    }
    return expired;
}

std::size_t queued_requests(const fair_queue& queue) {
    std::size_t count = 0;
    for (const auto& [workspace, items] : queue.waiting) {
        count += items.size();
    }
    return count;
}

}  // namespace camphorstack
