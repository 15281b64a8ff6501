#pragma once

#include <string>
#include <vector>

namespace camphorstack {

/// Formats rows of cells as text, padded so that the columns line up; the first row is the heading.
[[nodiscard]] std::string format_table(const std::vector<std::vector<std::string>>& rows);

/// Formats counts as "reason=count" pairs separated by blanks; returns "-" if there are none.
template <typename Counts>
[[nodiscard]] std::string format_counts(const Counts& counts) {
    std::string text;
    for (const auto& [name, count] : counts) {
        text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
    }
    return text.empty() ? "-" : text;
}

}  // namespace camphorstack
