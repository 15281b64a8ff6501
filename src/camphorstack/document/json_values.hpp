#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace camphorstack {

/// A member of a JSON object, as text.
struct json_member_text {
    std::string_view name;   ///< Without quotes; escapes are not decoded.
    std::string_view value;  ///< Not checked; may be invalid JSON.

    friend bool operator==(const json_member_text&, const json_member_text&) = default;
};

/// Returns the position of the quote that ends the string that starts at `start`; the size of the text if the string does not
/// end.
[[nodiscard]] std::size_t end_of_json_string(std::string_view text, std::size_t start);

/// Returns true if the text ends within a string, an object or an array.
[[nodiscard]] bool is_cut_json(std::string_view text);

/// Splits the text of a JSON object into its members. Needs only the brackets and quotes to match, so that a value that cannot be
/// parsed does not hide the others. Returns nothing for text that is not an object. The results refer to `text`.
[[nodiscard]] std::vector<json_member_text> split_json_object(std::string_view text);

/// Splits the text of a JSON array into its elements, like `split_json_object`.
[[nodiscard]] std::vector<std::string_view> split_json_array(std::string_view text);

}  // namespace camphorstack
