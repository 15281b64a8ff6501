#pragma once

#include "camphorstack/endpoints/group.hpp"

namespace camphorstack {

/// Context in which the group's state machine handles one event.
struct group_step {
    group_state& state;
    instant now;
    group_actions& actions;
};

/// Appends a record of a decision about the group to the actions.
void record_decision(group_step& step, const std::string& kind, const std::string& observations);

}  // namespace camphorstack
