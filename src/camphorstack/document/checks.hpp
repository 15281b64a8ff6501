#pragma once

#include <string>

#include "camphorstack/document/document.hpp"
#include "camphorstack/document/object_reader.hpp"

namespace camphorstack {

/// Returns true for "a.b.c.d:port" with four decimal numbers from 0 to 255 and a port from 1 to 65535. Host names are not
/// accepted.
[[nodiscard]] bool is_ip_and_port(const std::string& text);

/// Error text for an id of the wrong form. Ids are restricted because they appear in URLs, log fields and metric labels.
inline constexpr const char* id_rule = "must be 1 to 100 letters, digits, '.', '_' or '-'";

/// Returns true if the text has the form that `id_rule` describes.
[[nodiscard]] bool is_id(const std::string& text);

/// Returns true for 64 lower-case hexadecimal digits.
[[nodiscard]] bool is_sha256_text(const std::string& text);

/// Adds an error for each duplicate id, key hash and endpoint address.
void check_unique(const document& content, error_list& errors);

/// Adds an error for each reference to a data centre, service or workspace that no section defines.
void check_references(const document& content, error_list& errors);

}  // namespace camphorstack
