#include "soak/odd_text.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace camphorstack::soak {

namespace {

using namespace std::string_view_literals;

constexpr std::array pieces{"\n"sv,
                            "\r"sv,
                            "\n\r"sv,
                            "\0"sv,
                            "\x01"sv,
                            "\t"sv,
                            "\x7f"sv,
                            "\xff\xc3"sv,
                            "\x80"sv,
                            "%"sv,
                            " "sv,
                            "  "sv,
                            "-"sv,
                            "\nBYE"sv,
                            "\nROW y"sv,
                            "\nDONE -\nREADY I -"sv,
                            "\rROW"sv,
                            "plain"sv,
                            "\n- "sv,
                            "AFTER 1.1 "sv,
                            "\nQUERY q WRITE i0 1"sv,
                            "\nERROR BUSY x"sv};
constexpr std::size_t max_pieces = 3;
/// One text in this many is longer than a read of a socket.
constexpr std::size_t long_text_interval = 150;
constexpr std::size_t long_text_bytes = 70'000;

}  // namespace

std::string odd_text(std::string_view head, bool has_blanks, random_source& random) {
    std::string text(head);
    for (auto count = random() % (max_pieces + 1); count > 0; --count) {
        text += pieces[random() % pieces.size()];
    }
    if (has_blanks && random() % long_text_interval == 0) {
        text.append(long_text_bytes, 'x');
        text += "\n";
    }
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i - 1] == '\r' && text[i] == '\n') {
            text[i] = '\r';
        }
    }
    if (!has_blanks) {
        std::ranges::replace(text, ' ', '_');
    }
    return text;
}

std::string printable(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t max_shown = 200;
    std::string shown;
    for (const char c : text.substr(0, max_shown)) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte < 0x7f && c != '\\') {
            shown += c;
        } else {
            shown += "\\x";
            shown += digits[byte >> 4U];
            shown += digits[byte & 0xfU];
        }
    }
    return text.size() > max_shown ? shown + "... (" + std::to_string(text.size()) + " bytes)" : shown;
}

}  // namespace camphorstack::soak
