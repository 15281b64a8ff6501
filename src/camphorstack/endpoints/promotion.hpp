#pragma once

#include <string>

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Starts a promotion if this host is owner, the group needs another primary and a term is reserved. Continues a running one.
void run_promotion(group_step& step);

/// Starts a promotion with the lowest usable reserved term. `preferred` is chosen among instances with the same position.
void start_promotion(group_step& step, const std::string& reason, const endpoint_id& preferred);

/// Ends this host's promotion if a primary with the term of the promotion or a higher term was found.
void finish_promotion(group_step& step);

/// Handles the answer to a fence call of `term`.
void handle_fence_answer(group_step& step, const endpoint_id& target, term_number term, const endpoint_answer& answer);

/// Handles the answer to a promote call of `term`.
void handle_promote_answer(group_step& step, term_number term, const endpoint_answer& answer);

}  // namespace camphorstack
