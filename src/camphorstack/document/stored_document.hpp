#pragma once

#include <map>
#include <string>

#include "camphorstack/document/json_tree.hpp"
#include "camphorstack/document/object_reader.hpp"
#include "camphorstack/document/sections.hpp"

namespace camphorstack {

/// Largest document text in bytes; the platform's limit for one value.
constexpr std::size_t max_document_bytes = 1'000'000;

/// A section as the platform's object holds it.
struct stored_section {
    document_version version = 0;
    std::string change_id;
    JsonObject* content = nullptr;    ///< Of `tree`.
    const json_tree* tree = nullptr;  ///< Text that the content comes from.
};
using stored_sections = std::map<std::string, stored_section>;

/// Finds the sections in the platform object's value. The result refers to `tree`.
[[nodiscard]] stored_sections find_sections(const json_tree& tree, error_list& errors);

/// Finds the sections in an object as operators write it: {"tenancy": {...}, ...}, without versions.
[[nodiscard]] stored_sections find_section_contents(const json_tree& tree, error_list& errors);

/// Reads all sections and checks them against each other.
[[nodiscard]] document read_document(const stored_sections& sections, document_version version, error_list& errors);

/// Adds the tree's syntax errors, and one if its root is not an object. True if the tree can be read further.
bool check_syntax(const json_tree& tree, const std::string& section, error_list& errors);

/// Adds an error if the text is longer than the platform stores.
bool check_size(const std::string& text, error_list& errors);

}  // namespace camphorstack
