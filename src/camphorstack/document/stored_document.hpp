#pragma once

#include <map>
#include <string>

#include "camphorstack/document/json_tree.hpp"
#include "camphorstack/document/object_reader.hpp"
#include "camphorstack/document/sections.hpp"

namespace camphorstack {

/// Maximum size of the document text in bytes: the platform's limit for one value.
constexpr std::size_t max_document_bytes = 1'000'000;

/// A section as stored in the platform's object.
struct stored_section {
    document_version version = 0;
    std::string change_id;
    JsonObject* content = nullptr;    ///< Object in `tree`.
    const json_tree* tree = nullptr;  ///< Parsed text that contains `content`.
};
using stored_sections = std::map<std::string, stored_section>;

/// Finds the sections in the platform object's value. The result holds pointers into `tree`.
[[nodiscard]] stored_sections find_sections(const json_tree& tree, error_list& errors);

/// Finds the sections in an object of section contents without versions, as operators write it: {"tenancy": {...}, ...}.
[[nodiscard]] stored_sections find_section_contents(const json_tree& tree, error_list& errors);

/// Reads all sections and checks uniqueness and references across them.
[[nodiscard]] document read_document(const stored_sections& sections, document_version version, error_list& errors);

/// Adds the tree's syntax errors, and an error if its root is not an object. Returns true if the root is an object.
bool check_syntax(const json_tree& tree, const std::string& section, error_list& errors);

/// Adds an error and returns false if the text is larger than `max_document_bytes`.
bool check_size(const std::string& text, error_list& errors);

}  // namespace camphorstack
