#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/document/json_tree.hpp"

namespace camphorstack {

/// Collects errors as "SECTION: text" or "SECTION:LINE: text", so that all errors of a document are reported at once.
struct error_list {
    std::vector<std::string> lines;

    void add(const std::string& section, int line, const std::string& text);

    /// Throws document_error with all errors if there are any.
    void throw_if_any() const;
};

/// Reads the fields of one JSON object and adds an error for each invalid field. Records the names of requested fields to detect
/// unknown ones.
class object_reader {
public:
    object_reader(error_list& sink, const json_tree& source, std::string section_name, std::string object_path,
                  JsonObject* fields);

    /// Reads a string that must be present and not empty. Returns an empty string after an error.
    std::string required_string(const char* name);
    /// Reads a string that must be present and have the form of an id.
    std::string required_id(const char* name);
    /// Reads a string. Returns an empty string if the field is absent.
    std::string optional_string(const char* name);
    /// Reads an integer that must be present and lie within the bounds. Returns `lowest` after an error.
    std::int64_t required_integer(const char* name, std::int64_t lowest, std::int64_t highest);
    /// Reads an object that must be present. Returns null after an error.
    JsonObject* required_object(const char* name);
    /// Reads an array of strings. Returns an empty list if the field is absent.
    std::vector<std::string> optional_strings(const char* name);
    /// Calls `read_item` with a reader for each object of an array, then checks that object for unknown fields.
    /// An absent array is an error only if `is_required` is true.
    void for_each_object(const char* name, bool is_required, const std::function<void(object_reader&)>& read_item);
    /// Returns the line on which the object starts; 0 if unknown.
    [[nodiscard]] int line() const { return this->tree.line_of(this->object); }
    /// Adds an error that names the field, or the object itself if `name` is empty.
    void add_error(const std::string& name, const std::string& text);
    /// Adds an error for each field that was not requested before.
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
