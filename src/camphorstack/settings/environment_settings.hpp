#pragma once

#include <map>
#include <string>

namespace camphorstack {

/// Values that take the place of those in the settings file, by the name of the setting.
using settings_overrides = std::map<std::string, std::string>;

/// Returns the settings that the environment gives: `memory_limit` as CAMPHORSTACK_MEMORY_LIMIT, and likewise `descriptor_limit`,
/// `usage_window` and `usage_due`. A variable that is empty gives nothing.
[[nodiscard]] settings_overrides read_environment_settings();

/// Returns the name of the variable that gives a setting.
[[nodiscard]] std::string environment_name(const std::string& setting);

}  // namespace camphorstack
