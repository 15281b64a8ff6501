#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "camphorstack/cli/host_status.hpp"

namespace camphorstack {

/// Decisions of all hosts, oldest first, and refusals summed by reason.
struct fleet_explanation {
    std::vector<explained_decision> decisions;
    std::map<std::string, std::uint64_t> refused;
    std::vector<std::string> unreachable_hosts;  ///< Hosts that did not answer.

    friend bool operator==(const fleet_explanation&, const fleet_explanation&) = default;
};

/// Merges the decisions of all hosts in the order of age, since clocks of different hosts are not comparable, and keeps the
/// newest `max_decisions` decisions.
[[nodiscard]] fleet_explanation merge_explanations(const std::vector<host_explanation>& hosts,
                                                   std::vector<std::string> unreachable_hosts, std::size_t max_decisions);

[[nodiscard]] std::string format_explanation(const fleet_explanation& explanation);
[[nodiscard]] std::string format_explanation_json(const fleet_explanation& explanation);

}  // namespace camphorstack
