#pragma once

#include <string>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A decision of this host and the observations that led to it, for the `explain` command and the log.
struct decision_record {
    instant at;
    std::string kind;          ///< Stable name: "promotion", "owner_moved", "drain", "host_suspected", ...
    std::string subject;       ///< Database, host or data centre that the decision is about.
    std::string observations;  ///< key=value pairs, separated by spaces.

    friend bool operator==(const decision_record&, const decision_record&) = default;
};

}  // namespace camphorstack
