#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Takes over a write or commit that the primary has run. It is answered once a majority of the group, the primary included,
/// holds it in the term in which it ran.
void await_acknowledgement(group_step& step, unacknowledged_write write);

/// Answers the writes that a majority holds.
void acknowledge_writes(group_step& step);

/// Settles unanswered writes of former terms: a promotion may have dropped them.
void resolve_writes_of_earlier_terms(group_step& step);

}  // namespace camphorstack
