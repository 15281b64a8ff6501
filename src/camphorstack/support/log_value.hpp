#pragma once

#include <string>
#include <string_view>

namespace camphorstack {

/// Returns a text as the value of a field "name=value" of a log line: unchanged if it is one word of printable ASCII characters
/// without quotes and backslashes, else in quotes. Long texts are cut, and their length is added.
[[nodiscard]] std::string log_value(std::string_view text);

/// Returns a text in quotes as the value of a field of a log line. Quotes and backslashes follow a backslash; bytes that are not
/// printable ASCII characters become "\xNN". Long texts are cut, and their length is added.
[[nodiscard]] std::string log_quoted(std::string_view text);

}  // namespace camphorstack
