#pragma once

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// Number of instances that is more than half of the group.
[[nodiscard]] std::size_t majority(const group_state& state);

/// Number of instances that are up.
[[nodiscard]] std::size_t instances_up(const group_state& state);

[[nodiscard]] group_instance* find_instance(group_state& state, const endpoint_id& id);
[[nodiscard]] const group_instance* find_instance(const group_state& state, const endpoint_id& id);

/// Returns the current primary if requests may be sent to it, otherwise null.
[[nodiscard]] group_instance* serving_primary(group_state& state);

/// True if the instance may receive new work: it is usable, or the group has no usable instance at all.
[[nodiscard]] bool may_use(const group_state& state, const group_instance& instance);

/// Applies the status from an answer to a call sent at `sent_at`. The position in the answer is the end of the instance's log
/// (`is_log_end`) or that of a write.
void apply_report(group_step& step, group_instance& instance, const endpoint_answer& answer, instant sent_at, bool is_log_end);

/// Records the instance as the primary, if its term is higher than that of any primary seen before. Ends this host's promotion,
/// handles unanswered writes of earlier terms and closes the connections that belong to earlier terms.
void adopt_primary(group_step& step, const group_instance& instance);

}  // namespace camphorstack
