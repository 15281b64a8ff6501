#pragma once

#include <string>

#include "camphorstack/document/document.hpp"
#include "camphorstack/document/object_reader.hpp"

namespace camphorstack {

/// Limits of one workspace as read from the section capacity, before they are copied to the workspace.
struct workspace_limit {
    workspace_id workspace;
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;
    int line = 0;  ///< Line on which the limit starts; 0 if unknown.

    friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

/// Reads one section's content into `target` and adds errors for invalid fields. The section capacity is read into `limits`.
void read_section(const std::string& section, JsonObject* content, const json_tree& tree, document& target,
                  std::vector<workspace_limit>& limits, error_list& errors);

/// Copies the limits to their workspaces. Adds an error for each unknown workspace and each second limit of a workspace.
void apply_limits(const std::vector<workspace_limit>& limits, document& target, error_list& errors);

}  // namespace camphorstack
