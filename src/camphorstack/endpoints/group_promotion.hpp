#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "camphorstack/document/document.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// The primary with the highest term that this host has seen.
struct group_primary {
    endpoint_id id;  ///< Empty if none was ever seen.
    term_number term = 0;
    bool serving = false;  ///< False once the instance reported a higher term or another role.
};

/// A change of primary that this host runs.
struct group_promotion {
    term_number term = 0;
    std::string reason;     ///< "no_primary", "primary_lost", "term_split" or "switchover".
    endpoint_id preferred;  ///< Successor of a planned switchover, or empty.
    instant started;
    millis silence;                              ///< Of the former primary when the promotion started.
    std::map<endpoint_id, log_position> fenced;  ///< Positions after the fence.
    std::optional<instant> majority_at;
    /// Set before the first promote call. Only this instance is ever promoted in the term, so a term has one primary.
    endpoint_id chosen;
    instant chosen_at;
};

/// Moves the primary away from an endpoint that may not receive new work.
struct group_switchover {
    instant started;
    endpoint_id successor;
    std::optional<instant> writes_held_since;  ///< New writes wait since then.
    std::optional<instant> drained_since;      ///< Nothing runs at the primary since then.
};

/// Terms that the platform handed out ahead of need.
struct term_reserve {
    std::set<term_number> terms;
    instant next_attempt;  ///< Earliest time of the next `reserve_term`.
};

}  // namespace camphorstack
