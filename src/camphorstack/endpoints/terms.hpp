#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Keeps one term in reserve, above all terms seen, so that a promotion does not depend on the platform.
void keep_term_reserved(group_step& step);

/// Takes over the platform's answer; 0 if it did not answer.
void note_reserved_term(group_step& step, term_number term);

/// True if the reserved term is above all terms seen.
[[nodiscard]] bool has_usable_term(const group_state& state);

}  // namespace camphorstack
