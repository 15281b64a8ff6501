#pragma once

#include "camphorstack/endpoints/group.hpp"

namespace camphorstack {

/// What every part of the group's state machine works on while it handles one event.
struct group_step {
    group_state& state;
    instant now;
    group_actions& actions;
};

/// Adds a decision about the group to the actions.
void record_decision(group_step& step, const std::string& kind, const std::string& observations);

}  // namespace camphorstack
