#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Number of instances that is more than half of the group.
[[nodiscard]] std::size_t majority(const group_state& state);

/// Instances that answer at the moment.
[[nodiscard]] std::size_t instances_up(const group_state& state);

[[nodiscard]] group_instance* find_instance(group_state& state, const endpoint_id& id);
[[nodiscard]] const group_instance* find_instance(const group_state& state, const endpoint_id& id);

/// The instance of the current primary if it may be given work, otherwise null.
[[nodiscard]] group_instance* serving_primary(group_state& state);

/// True if the instance may receive new work: it is usable, or the group has no usable instance at all.
[[nodiscard]] bool may_use(const group_state& state, const group_instance& instance);

/// Takes over the status that came with an answer to a call sent at `sent_at`.
void apply_report(group_step& step, group_instance& instance, const endpoint_answer& answer, instant sent_at, bool is_log_end);

/// Takes over a primary with a higher term than any seen; settles what ran at the former one.
void adopt_primary(group_step& step, const group_instance& instance);

}  // namespace camphorstack
