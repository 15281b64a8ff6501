#pragma once

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Items queued by workspace, served in deficit round-robin order over the workspaces. Every item costs the same, so the quantum
/// is one item per round.
template <typename Item>
struct fair_lanes {
    std::map<workspace_id, std::deque<Item>> waiting;  ///< Holds no empty lane.
    std::deque<workspace_id> round_robin;              ///< Workspaces with waiting items, in the order of their turns.
};

/// Returns the workspace's lane to which an item is about to be added. A workspace without items gets the last turn.
template <typename Item>
std::deque<Item>& lane_for(fair_lanes<Item>& lanes, const workspace_id& id) {
    auto& items = lanes.waiting[id];
    if (items.empty()) {
        lanes.round_robin.push_back(id);
    }
    return items;
}

/// Removes the first item in the order of turns that `accept` takes; `accept` may move from the item it takes. Items that are not
/// taken block no later ones, and their workspaces keep their turns. False if no item was taken.
template <typename Item, typename Accept>
bool take_next(fair_lanes<Item>& lanes, Accept accept) {
    for (auto turn = lanes.round_robin.begin(); turn != lanes.round_robin.end(); ++turn) {
        const auto lane = lanes.waiting.find(*turn);
        auto& items = lane->second;
        for (auto item = items.begin(); item != items.end(); ++item) {
            if (!accept(*item)) {
                continue;
            }
            items.erase(item);
            lanes.round_robin.erase(turn);
            if (items.empty()) {
                lanes.waiting.erase(lane);
            } else {
                lanes.round_robin.push_back(lane->first);
            }
            return true;
        }
    }
    return false;
}

/// Removes and returns the items that match, by workspace and in the order of their lanes.
template <typename Item, typename Matches>
std::vector<Item> remove_matching(fair_lanes<Item>& lanes, Matches matches) {
    std::vector<Item> removed;
    for (auto lane = lanes.waiting.begin(); lane != lanes.waiting.end();) {
        auto& items = lane->second;
        const auto first =
            std::stable_partition(items.begin(), items.end(), [&matches](const Item& item) { return !matches(item); });
        std::move(first, items.end(), std::back_inserter(removed));
        items.erase(first, items.end());
        if (items.empty()) {
            std::erase(lanes.round_robin, lane->first);
            lane = lanes.waiting.erase(lane);
        } else {
            ++lane;
        }
    }
    return removed;
}

}  // namespace camphorstack
