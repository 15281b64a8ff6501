#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/document/json_tree.hpp"

namespace camphorstack {

/// Collects errors as "SECTION: text" or "SECTION:LINE: text", so that all are reported at once.
struct error_list {
    std::vector<std::string> lines;

    void add(const std::string& section, int line, const std::string& text);

    /// Throws document_error with all errors if there are any.
    void throw_if_any() const;
};

/// Reads the fields of one JSON object, adds an error for each wrong one, and knows which fields were asked for.
class object_reader {
public:
    object_reader(error_list& sink, const json_tree& source, std::string section_name, std::string object_path,
                  JsonObject* fields);

    /// A string that must be there and not be empty.
    std::string required_string(const char* name);
    /// A string that must be there and have the form of an id.
    std::string required_id(const char* name);
    /// A string, empty if it is absent.
    std::string optional_string(const char* name);
    /// A whole number that must be there and lie within the bounds.
    std::int64_t required_integer(const char* name, std::int64_t lowest, std::int64_t highest);
    /// An object that must be there; null after an error.
    JsonObject* required_object(const char* name);
    /// An array of strings; absent reads as empty.
    std::vector<std::string> optional_strings(const char* name);
    /// Calls `read_item` with a reader for each object of an array, then checks it for unknown fields.
    /// An absent array reads as empty unless `required`.
    void for_each_object(const char* name, bool required, const std::function<void(object_reader&)>& read_item);
    /// Line on which the object starts; 0 if unknown.
    [[nodiscard]] int line() const { return this->tree.line_of(this->object); }
    /// Adds an error that names the field, or the object itself if `name` is empty.
    void add_error(const std::string& name, const std::string& text);
    /// Adds an error for each field that was never asked for.
    void reject_unknown_fields();

private:
    JsonNode* find(const char* name);

    error_list& errors;
    const json_tree& tree;
    std::string section;
    std::string path;
    JsonObject* object;
    std::set<std::string> requested_fields;
};

}  // namespace camphorstack
