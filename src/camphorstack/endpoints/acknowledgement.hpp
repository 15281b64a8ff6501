#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Registers a write or commit that the primary has run. The request is answered once a majority of the group, the primary
/// included, holds the write in the term in which it ran.
void await_acknowledgement(group_step& step, unacknowledged_write write);

/// Replies to the writes that a majority of the group holds.
void acknowledge_writes(group_step& step);

/// Handles unanswered writes of earlier terms as lost, as a promotion may have dropped them from the log.
void resolve_writes_of_earlier_terms(group_step& step);

}  // namespace camphorstack
