#include "camphorstack/support/json_strings.hpp"

#include <algorithm>
#include <charconv>

namespace camphorstack {

namespace {

/// U+FDD0, which is no character and is marked too where a text contains it.
constexpr std::string_view mark = "\xef\xb7\x90";
constexpr std::string_view code_of_mark = "fdd0";
constexpr std::string_view code_of_nul = "0000";
constexpr std::string_view escape = "\\u";
constexpr std::size_t code_digits = 4;

/// Returns the code that `code_digits` hexadecimal digits give at the position, else nothing.
std::optional<unsigned> code_at(std::string_view text, std::size_t position) {
    const auto digits = text.substr(std::min(position, text.size()), code_digits);
    unsigned code = 0;
    const auto [stop, error_code] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    const bool is_code = digits.size() == code_digits && error_code == std::errc() && stop == digits.data() + digits.size();
    return is_code ? std::optional(code) : std::nullopt;
}

std::optional<unsigned> escaped_code_at(std::string_view text, std::size_t position) {
    const bool is_escape = position < text.size() && text.substr(position).starts_with(escape);
    return is_escape ? code_at(text, position + escape.size()) : std::nullopt;
}

bool is_high_surrogate(unsigned code) {
    return code >= 0xd800 && code <= 0xdbff;
}

bool is_low_surrogate(unsigned code) {
    return code >= 0xdc00 && code <= 0xdfff;
}

bool is_marked_code(unsigned code) {
    return code == 0 || code == 0xfdd0 || is_high_surrogate(code) || is_low_surrogate(code);
}

}  // namespace

std::string mark_json_escapes(const std::string& text) {
    // Most texts need no mark, and answers of the store can be large.
    if (text.find(escape) == std::string::npos && text.find(mark) == std::string::npos) {
        return text;
    }
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size();) {
        std::size_t length = 1;
        if (const auto code = escaped_code_at(text, i); code) {
            length = escape.size() + code_digits;
            const auto next = escaped_code_at(text, i + length);
            if (is_high_surrogate(*code) && next && is_low_surrogate(*next)) {
                length *= 2;
            } else if (is_marked_code(*code)) {
                result.append(mark).append(text, i + escape.size(), code_digits);
                i += length;
                continue;
            }
        } else if (text[i] == '\\' && i + 1 < text.size()) {
            length = 2;
        } else if (std::string_view(text).substr(i).starts_with(mark)) {
            result.append(mark).append(code_of_mark);
            i += mark.size();
            continue;
        }
        result.append(text, i, length);
        i += length;
    }
    return result;
}

std::string restore_json_escapes(std::string text) {
    for (auto found = text.find(mark); found != std::string::npos; found = text.find(mark, found + 1)) {
        const auto code = code_at(text, found + mark.size());
        if (code && is_marked_code(*code)) {
            text.replace(found, mark.size(), escape);
        }
    }
    return text;
}

std::string mark_json_string(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\0') {
            result.append(mark).append(code_of_nul);
        } else if (text.substr(i).starts_with(mark)) {
            result.append(mark).append(code_of_mark);
            i += mark.size() - 1;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::optional<std::string> unmark_json_string(std::string_view held) {
    std::string result;
    std::size_t copied = 0;
    for (auto found = held.find(mark); found != std::string_view::npos; found = held.find(mark, copied)) {
        result.append(held, copied, found - copied);
        const auto code = code_at(held, found + mark.size());
        copied = found + mark.size() + (code && is_marked_code(*code) ? code_digits : 0);
        if (code && *code == 0) {
            result += '\0';
        } else if (!code || !is_marked_code(*code) || *code == 0xfdd0) {
            result.append(mark);
        } else {
            return std::nullopt;
        }
    }
    return result.append(held, copied);
}

}  // namespace camphorstack
