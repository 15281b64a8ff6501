#pragma once

#include <random>
#include <string>

namespace camphorstack {

/// Returns a copy of the text with one to four random edits: a byte is replaced or inserted, up to eight bytes are removed, or a
/// part of the text is repeated elsewhere.
inline std::string mutate(std::string text, const std::string& alphabet, std::mt19937_64& random) {
    for (auto edits = 1 + random() % 4; edits > 0; --edits) {
        if (text.empty()) {
            return text;
        }
        const auto at = random() % text.size();
        switch (random() % 4) {
            case 0:
                text[at] = alphabet[random() % alphabet.size()];
                break;
            case 1:
                text.insert(at, 1, alphabet[random() % alphabet.size()]);
                break;
            case 2:
                text.erase(at, 1 + random() % 8);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 40));
        }
    }
    return text;
}

}  // namespace camphorstack
