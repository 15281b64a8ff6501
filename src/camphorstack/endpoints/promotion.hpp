#pragma once

#include <string>

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Starts a promotion when an owner sees the need and holds a term, and moves a running one on.
void run_promotion(group_step& step);

/// Starts a promotion with the reserved term. `preferred` wins among instances with the same position.
void start_promotion(group_step& step, const std::string& reason, const endpoint_id& preferred);

/// Ends this host's promotion after a primary with its term or a higher one was seen.
void finish_promotion(group_step& step);

/// Handles the answer to a fence call of `term`.
void handle_fence_answer(group_step& step, const endpoint_id& target, term_number term, const endpoint_answer& answer);

/// Handles the answer to a promote call of `term`.
void handle_promote_answer(group_step& step, term_number term, const endpoint_answer& answer);

}  // namespace camphorstack
