#pragma once

#include <optional>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Returns true if the operation may run in the region of the data centre.
[[nodiscard]] bool may_run_in(const session_host_state& state, const session_access& access, const data_centre_id& location);

/// Returns the database's leader, or nothing if the operation may not use it now.
[[nodiscard]] std::optional<run_target> leader_target(const session_host_state& state, const session_access& access);

/// The endpoint for a read and the position that the endpoint's log must have reached.
struct read_plan {
    run_target target;
    std::optional<log_position> after;  ///< Empty if the endpoint is the leader.

    friend bool operator==(const read_plan&, const read_plan&) = default;
};

/// Returns the endpoint, replica or leader, with the lowest estimated latency for a read; nothing if none may be used now.
[[nodiscard]] std::optional<read_plan> choose_read(session_host_state& state, const caller_session& session,
                                                   const open_operation& operation, instant now);

}  // namespace camphorstack
