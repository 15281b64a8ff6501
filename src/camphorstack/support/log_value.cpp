#include "camphorstack/support/log_value.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Six values of this length, escaped, leave room for the other fields of a line.
constexpr std::size_t max_value_bytes = 100;
constexpr std::size_t max_quoted_bytes = 500;

bool is_printable(char c) {
    return c >= ' ' && c <= '~';
}

bool needs_backslash(char c) {
    return c == '"' || c == '\\';
}

std::string quote(std::string_view text, std::size_t limit) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned digit_mask = 0xf;
    std::string result = "\"";
    for (const char c : text.substr(0, limit)) {
        const auto byte = static_cast<unsigned char>(c);
        if (!is_printable(c)) {
            result += "\\x";
            result += digits[byte >> bits_per_digit];
            result += digits[byte & digit_mask];
            continue;
        }
        if (needs_backslash(c)) {
            result += '\\';
        }
        result += c;
    }
    // No escape begins with "\.", so that a text that was cut differs from one that ends alike.
    return result + (text.size() > limit ? "\\..." + std::to_string(text.size()) : "") + '"';
}

}  // namespace

std::string log_value(std::string_view text) {
    const bool is_word = std::ranges::all_of(text, [](char c) { return is_printable(c) && c != ' ' && !needs_backslash(c); });
    return is_word && text.size() <= max_value_bytes ? std::string(text) : quote(text, max_value_bytes);
}

std::string log_quoted(std::string_view text) {
    return quote(text, max_quoted_bytes);
}

}  // namespace camphorstack
