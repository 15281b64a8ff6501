#include "camphorstack/document/json_values.hpp"

#include <optional>

namespace camphorstack {

namespace {

std::string_view trim(std::string_view text) {
    constexpr std::string_view spaces = " \t\r\n";
    const auto first = text.find_first_not_of(spaces);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(spaces) - first + 1);
}

/// Returns the position of the first of `stops` in `text` that is neither in a string nor in a nested value, or `npos`.
std::size_t find_outside(std::string_view text, std::string_view stops) {
    std::size_t depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (depth == 0 && stops.find(c) != std::string_view::npos) {
            return i;
        }
        if (c == '"') {
            i = end_of_json_string(text, i);
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return std::string_view::npos;
}

/// Returns the text between the outer brackets, or nothing if `text` does not start and end with them.
std::optional<std::string_view> content_of(std::string_view text, char opening, char closing) {
    const auto trimmed = trim(text);
    if (trimmed.size() < 2 || trimmed.front() != opening || trimmed.back() != closing) {
        return std::nullopt;
    }
    return trimmed.substr(1, trimmed.size() - 2);
}

std::vector<std::string_view> split_at_commas(std::string_view text) {
    std::vector<std::string_view> parts;
    while (!trim(text).empty()) {
        const auto comma = find_outside(text, ",");
        parts.push_back(trim(text.substr(0, comma)));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

}  // namespace

std::size_t end_of_json_string(std::string_view text, std::size_t start) {
    for (std::size_t i = start + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i;
        }
    }
    return text.size();
}

bool is_cut_json(std::string_view text) {
    std::size_t depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            i = end_of_json_string(text, i);
            if (i == text.size()) {
                return true;
            }
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return depth > 0;
}

std::vector<json_member_text> split_json_object(std::string_view text) {
    std::vector<json_member_text> members;
    const auto content = content_of(text, '{', '}');
    for (const auto part : split_at_commas(content.value_or(std::string_view()))) {
        const auto colon = find_outside(part, ":");
        const auto name = trim(part.substr(0, colon));
        if (colon != std::string_view::npos && name.size() >= 2 && name.front() == '"' && name.back() == '"') {
            members.push_back({name.substr(1, name.size() - 2), trim(part.substr(colon + 1))});
        }
    }
    return members;
}

std::vector<std::string_view> split_json_array(std::string_view text) {
    return split_at_commas(content_of(text, '[', ']').value_or(std::string_view()));
}

}  // namespace camphorstack
