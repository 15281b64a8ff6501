#include "camphorstack/cli/table.hpp"

#include <algorithm>

namespace camphorstack {

std::string format_table(const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

}  // namespace camphorstack
