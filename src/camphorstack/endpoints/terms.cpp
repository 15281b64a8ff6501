#include "camphorstack/endpoints/terms.hpp"

#include <algorithm>

#include "camphorstack/endpoints/group_intervals.hpp"

namespace camphorstack {

namespace {

term_number highest_known(const group_state& state) {
    const auto running = state.promotion ? state.promotion->term : 0;
    return std::max({state.highest_term, state.primary.term, running});
}

}  // namespace

bool has_usable_term(const group_state& state) {
    return state.reserve.term > highest_known(state);
}

void keep_term_reserved(group_step& step) {
    auto& reserve = step.state.reserve;
    if (step.state.duty == group_duty::none || has_usable_term(step.state) || step.now < reserve.next_ask) {
        return;
    }
    reserve.term = 0;
    reserve.asked = true;
    reserve.next_ask = step.now + reserve_timeout;
    step.actions.emplace_back(reserve_term{step.state.id, highest_known(step.state)});
}

void note_reserved_term(group_step& step, term_number term) {
    auto& reserve = step.state.reserve;
    reserve.asked = false;
    reserve.term = std::max(reserve.term, term);
    reserve.next_ask = has_usable_term(step.state) ? step.now : step.now + reserve_retry;
}

}  // namespace camphorstack
