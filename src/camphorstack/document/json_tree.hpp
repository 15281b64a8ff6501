#pragma once

#include <json-glib/json-glib.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/support/json.hpp"

namespace camphorstack {

/// An error that the JSON parser found.
struct json_error {
    int line = 0;  ///< Counted from 1; 0 if unknown.
    std::string text;

    friend bool operator==(const json_error&, const json_error&) = default;
};

/// A parsed JSON text with the line on which each of its objects starts.
class json_tree {
public:
    /// Parses `text`. Never throws; see `errors` for syntax errors, repeated fields and bytes that are not UTF-8.
    explicit json_tree(const std::string& text);

    [[nodiscard]] const std::vector<json_error>& errors() const { return this->found_errors; }

    /// The root if it is an object, else null. Valid as long as the tree.
    [[nodiscard]] JsonObject* root() const;

    /// Line on which the object starts; 0 if it is not of this tree or if the text has one line only.
    [[nodiscard]] int line_of(JsonObject* object) const;

private:
    struct parse_observer;

    json_node_pointer root_node;
    std::vector<json_error> found_errors;
    std::map<JsonObject*, int> lines;
};

/// Compact JSON text of a node.
[[nodiscard]] std::string to_json_text(JsonNode* node);

/// Indented JSON text of a node, for people.
[[nodiscard]] std::string to_pretty_json_text(JsonNode* node);

/// The member if it is an object, else null.
[[nodiscard]] JsonObject* object_member(JsonObject* parent, const char* name);

/// The member if it is an array, else null.
[[nodiscard]] JsonArray* array_member(JsonObject* parent, const char* name);

/// The member if it is a string, else nothing.
[[nodiscard]] std::optional<std::string> string_member(JsonObject* parent, const char* name);

/// The member if it is a whole number, else nothing.
[[nodiscard]] std::optional<std::int64_t> integer_member(JsonObject* parent, const char* name);

/// The member if it is a boolean, else nothing.
[[nodiscard]] std::optional<bool> boolean_member(JsonObject* parent, const char* name);

}  // namespace camphorstack
