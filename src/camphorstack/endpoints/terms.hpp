#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Keeps terms above all terms seen in reserve, so that a promotion does not depend on the platform.
void keep_terms_reserved(group_step& step);

/// Takes over the platform's answer; 0 if it did not answer.
void add_reserved_term(group_step& step, term_number term);

/// True if a reserved term is above all terms seen.
[[nodiscard]] bool has_usable_term(const group_state& state);

/// Takes the lowest usable term out of the reserve. Requires `has_usable_term`.
[[nodiscard]] term_number take_term(group_state& state);

}  // namespace camphorstack
