#pragma once

#include <optional>
#include <string>

#include "camphorstack/document/document.hpp"

namespace camphorstack {

/// Checks a file written by operators: an object of section contents, or the platform object's value.
/// Throws document_error with all errors.
void check_document_file(const std::string& text);

/// One section of the platform object's value.
struct section_entry {
    document_version version = 0;  ///< Document version at which the section last changed.
    std::string change_id;
    std::string content;  ///< Indented JSON text.

    friend bool operator==(const section_entry&, const section_entry&) = default;
};

/// Returns the section, or nullopt if the document does not contain it or if the text is not a document.
[[nodiscard]] std::optional<section_entry> find_section(const std::string& current, const std::string& section);

/// Returns true if the last change of any section has exactly this version.
[[nodiscard]] bool has_change_at(const std::string& current, document_version version);

}  // namespace camphorstack
