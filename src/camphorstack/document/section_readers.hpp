#pragma once

#include <string>

#include "camphorstack/document/document.hpp"
#include "camphorstack/document/object_reader.hpp"

namespace camphorstack {

/// A section's limits, before they are joined with the workspaces.
struct workspace_limit {
    workspace_id workspace;
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;
    int line = 0;

    friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

/// Reads one section's content into the document, adding errors for wrong fields. `capacity` is read into `limits`.
void read_section(const std::string& section, JsonObject* content, const json_tree& tree, document& target,
                  std::vector<workspace_limit>& limits, error_list& errors);

/// Joins the limits with the workspaces; adds errors for unknown workspaces and for second limits.
void apply_limits(const std::vector<workspace_limit>& limits, document& target, error_list& errors);

}  // namespace camphorstack
