#include "camphorstack/support/metric_label.hpp"

#include <string_view>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

std::string metric_label(const std::string& text) {
    const g_text valid(g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())));
    std::string result;
    for (const char character : std::string_view(valid.get())) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

}  // namespace camphorstack
