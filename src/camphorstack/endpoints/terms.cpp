#include "camphorstack/endpoints/terms.hpp"

#include <algorithm>
#include <iterator>

#include "camphorstack/endpoints/group_intervals.hpp"

namespace camphorstack {

namespace {

term_number highest_known_term(const group_state& state) {
    const auto running = state.promotion ? state.promotion->term : 0;
    return std::max({state.highest_term, state.primary.term, running});
}

}  // namespace

bool has_usable_term(const group_state& state) {
    const auto& terms = state.reserve.terms;
    return !terms.empty() && *terms.rbegin() > highest_known_term(state);
}

term_number take_term(group_state& state) {
    const auto found = state.reserve.terms.upper_bound(highest_known_term(state));
    const auto term = *found;
    state.reserve.terms.erase(state.reserve.terms.begin(), std::next(found));
    return term;
}

void keep_terms_reserved(group_step& step) {
    auto& reserve = step.state.reserve;
    const auto highest = highest_known_term(step.state);
    reserve.terms.erase(reserve.terms.begin(), reserve.terms.upper_bound(highest));
    if (step.state.duty == group_duty::none || reserve.terms.size() >= reserved_terms || step.now < reserve.next_attempt) {
        return;
    }
    reserve.next_attempt = step.now + reserve_timeout;
    const auto above = reserve.terms.empty() ? highest : *reserve.terms.rbegin();
    step.actions.emplace_back(reserve_term{step.state.id, above});
}

void add_reserved_term(group_step& step, term_number term) {
    auto& reserve = step.state.reserve;
    const bool useful = term > highest_known_term(step.state);
    if (useful) {
        reserve.terms.insert(term);
    }
    reserve.next_attempt = useful ? step.now : step.now + reserve_retry_interval;
}

}  // namespace camphorstack
