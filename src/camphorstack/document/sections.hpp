#pragma once

#include <string>
#include <vector>

#include "camphorstack/document/document.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

/// All errors of a document, one per line as "SECTION: text" or "SECTION:LINE: text".
class document_error : public format_error {
public:
    using format_error::format_error;
};

/// Thrown if a section has changed since the operator read it, or if the version that was read is above the current version.
class section_conflict : public error {
public:
    section_conflict(const std::string& section, document_version read, document_version current);

    document_version read_version = 0;
    document_version current_version = 0;
};

/// Returns the names of the sections in the order in which they are written and read.
[[nodiscard]] const std::vector<std::string>& section_names();

/// Reads the platform object's JSON value:
///   {"sections": {"tenancy": {"version": 3, "change_id": "...", "content": {...}}, "capacity": ..., ...}}
/// A section's version is the document version at which it last changed. Content of each section:
///   tenancy:      {"workspaces": [{"id", "keys": [{"id", "sha256"}]}],
///                  "routes": [{"id", "service", "workspaces": ["..."], "open_workspace": "..."}]}
///   capacity:     {"limits": [{"workspace", "rate_per_s", "burst"}]}
///   data_centres: {"data_centres": [{"id", "region", "state": "in"|"out"}]}
///   databases:    {"databases": [{"id", "service",
///                  "endpoints": [{"id", "data_centre", "address", "slots", "connections", "state": "in"|"out"}]}]}
/// Throws document_error with all errors at once.
[[nodiscard]] document parse_document(const std::string& text, document_version version);

/// One operator's change of one section.
struct section_change {
    std::string section;
    std::string content;                ///< The section's new content as JSON text.
    document_version read_version = 0;  ///< Document version at which the operator read the section.
    std::string change_id;              ///< Unique id. Shows whether a write whose answer was lost has taken effect.

    friend bool operator==(const section_change&, const section_change&) = default;
};

/// Returns the document's JSON value with the change applied, to be written as version `current_version + 1`.
/// An empty `current` means that no document exists yet.
/// Throws section_conflict if the section has changed since it was read or if `change.read_version` is above `current_version`,
/// document_error if the result is not valid.
[[nodiscard]] std::string merge_section(const std::string& current, document_version current_version,
                                        const section_change& change);

/// Returns true if the section's last change has the id `change_id`. This shows that a write whose answer was lost has taken
/// effect.
[[nodiscard]] bool is_last_change(const std::string& current, const std::string& section, const std::string& change_id);

/// Format and parse the JSON value of the platform object `members`, which holds the list of member hosts.
/// `parse_members` throws document_error.
[[nodiscard]] std::string format_members(const std::vector<member>& hosts);
[[nodiscard]] std::vector<member> parse_members(const std::string& text);

/// Term record of a database: the JSON value of the platform object `terms/DATABASE`.
struct term_record {
    std::uint64_t last_term = 0;  ///< Highest term that has been assigned.
    std::string writer;           ///< Unique id of the write that assigned `last_term`.

    friend bool operator==(const term_record&, const term_record&) = default;
};
/// `parse_term_record` throws document_error.
[[nodiscard]] std::string format_term_record(const term_record& record);
[[nodiscard]] term_record parse_term_record(const std::string& text);

}  // namespace camphorstack
