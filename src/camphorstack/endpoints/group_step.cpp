#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

void record_decision(group_step& step, const std::string& kind, const std::string& observations) {
    step.actions.emplace_back(decision_record{step.now, kind, step.state.id, observations});
}

}  // namespace camphorstack
