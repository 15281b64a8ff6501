#pragma once

#include <string>

#include "camphorstack/usage/usage_messages.hpp"

namespace camphorstack {

/// Name of the object that holds the usage that is being sent or was sent last.
constexpr const char* usage_record_name = "sent";

/// Formats a window's counts as JSON.
[[nodiscard]] std::string to_text(const window_counts& record);

/// Parses the object's text. Throws format_error if it is not a valid record.
[[nodiscard]] window_counts parse_usage_record(const std::string& text);

}  // namespace camphorstack
