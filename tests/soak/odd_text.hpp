#pragma once

#include <string>
#include <string_view>

#include "camphorstack/support/random.hpp"

namespace camphorstack::soak {

/// Returns `head` and random bytes after it that a reader of messages could take for the end or the start of a message, but no
/// CR LF. `has_blanks` permits blanks, which only the last field of a message may have.
[[nodiscard]] std::string odd_text(std::string_view head, bool has_blanks, random_source& random);

/// Returns the text with all bytes that cannot be printed, and the escape character, as "\xNN".
[[nodiscard]] std::string printable(std::string_view text);

}  // namespace camphorstack::soak
