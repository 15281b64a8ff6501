#pragma once

#include <json-glib/json-glib.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/support/json.hpp"

namespace camphorstack {

/// An error found while parsing JSON text.
struct json_error {
    int line = 0;  ///< Line number, counted from 1; 0 if unknown.
    std::string text;

    friend bool operator==(const json_error&, const json_error&) = default;
};

/// A parsed JSON text and the line on which each object starts.
class json_tree {
public:
    /// Parses `text`. Does not throw; `errors` lists syntax errors, duplicate fields and bytes that are not UTF-8.
    explicit json_tree(const std::string& text);

    [[nodiscard]] const std::vector<json_error>& errors() const { return this->found_errors; }

    /// Returns the root if it is an object, else null. The result is owned by the tree.
    [[nodiscard]] JsonObject* root() const;

    /// Returns the line on which the object starts; 0 if the object is not part of this tree or if the text has only one line.
    [[nodiscard]] int line_of(JsonObject* object) const;

private:
    struct parse_observer;

    json_node_pointer root_node;
    std::vector<json_error> found_errors;
    std::map<JsonObject*, int> lines;
};

/// Returns the compact JSON text of a node.
[[nodiscard]] std::string to_json_text(JsonNode* node);

/// Returns the JSON text of a node, indented for display.
[[nodiscard]] std::string to_pretty_json_text(JsonNode* node);

/// Returns the member if it is an object, else null.
[[nodiscard]] JsonObject* object_member(JsonObject* parent, const char* name);

/// Returns the member if it is an array, else null.
[[nodiscard]] JsonArray* array_member(JsonObject* parent, const char* name);

/// Returns the member if it is a string, else nullopt. A string with a lone surrogate counts as none.
[[nodiscard]] std::optional<std::string> string_member(JsonObject* parent, const char* name);

/// Returns the node's text if it is a string, else nullopt, like `string_member`. Also for a null `node`.
[[nodiscard]] std::optional<std::string> string_value(JsonNode* node);

/// Returns the member if it is an integer, else nullopt.
[[nodiscard]] std::optional<std::int64_t> integer_member(JsonObject* parent, const char* name);

/// Returns the member if it is a number, whole or not, else nullopt.
[[nodiscard]] std::optional<double> number_member(JsonObject* parent, const char* name);

/// Returns the member if it is a boolean, else nullopt.
[[nodiscard]] std::optional<bool> boolean_member(JsonObject* parent, const char* name);

}  // namespace camphorstack
