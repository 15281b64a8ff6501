#include "camphorstack/endpoints/acknowledgement.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "camphorstack/endpoints/lost_calls.hpp"
#include "camphorstack/endpoints/replies.hpp"
#include "camphorstack/endpoints/reports.hpp"

namespace camphorstack {

namespace {

/// The instance's own log is of the term as well: one that has accepted the term but not yet its log may hold entries of a
/// former primary at the same index.
bool confirms(const group_instance& instance, const unacknowledged_write& write) {
    return instance.config.id != write.served_by && instance.term == write.term && instance.position.term == write.term &&
           instance.position >= write.position;
}

bool is_held_by_majority(const group_state& state, const unacknowledged_write& write) {
    std::size_t holders = 1;
    for (const auto& [id, instance] : state.instances) {
        holders += confirms(instance, write) ? 1 : 0;
    }
    return holders >= majority(state);
}

std::vector<unacknowledged_write> extract_if(group_state& state, const auto& condition) {
    auto& writes = state.unacknowledged;
    const auto first = std::stable_partition(writes.begin(), writes.end(), [&](const auto& write) { return !condition(write); });
    std::vector<unacknowledged_write> taken(std::make_move_iterator(first), std::make_move_iterator(writes.end()));
    writes.erase(first, writes.end());
    return taken;
}

}  // namespace

void await_acknowledgement(group_step& step, unacknowledged_write write) {
    step.state.unacknowledged.push_back(std::move(write));
    resolve_writes_of_earlier_terms(step);
    acknowledge_writes(step);
}

void acknowledge_writes(group_step& step) {
    if (step.state.unacknowledged.empty()) {
        return;
    }
    auto held = extract_if(step.state, [&](const auto& write) { return is_held_by_majority(step.state, write); });
    for (auto& write : held) {
        reply_done(step, write.request, {std::move(write.body), write.position, "", write.served_by});
    }
}

void resolve_writes_of_earlier_terms(group_step& step) {
    auto lost = extract_if(step.state, [&](const auto& write) { return write.term < step.state.primary.term; });
    for (auto& write : lost) {
        handle_lost_write(step, std::move(write.request));
    }
}

}  // namespace camphorstack
