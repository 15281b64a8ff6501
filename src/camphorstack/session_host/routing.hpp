#pragma once

#include <optional>

#include "camphorstack/session_host/session_host_state.hpp"

namespace camphorstack {

/// Whether the operation may run in the region of the data centre.
[[nodiscard]] bool may_run_in(const session_host_state& state, const session_access& access, const data_centre_id& location);

/// The database's leader, if it may be used now for the operation.
[[nodiscard]] std::optional<run_target> leader_target(const session_host_state& state, const session_access& access);

/// A read's endpoint and the position that its log must reach.
struct read_plan {
    run_target target;
    std::optional<log_position> after;  ///< Nothing at the leader.

    friend bool operator==(const read_plan&, const read_plan&) = default;
};

/// The endpoint that is likely to answer a read first, replica or leader. Nothing if none may be used now.
[[nodiscard]] std::optional<read_plan> choose_read(session_host_state& state, const caller_session& session,
                                                   const open_operation& operation, instant now);

}  // namespace camphorstack
