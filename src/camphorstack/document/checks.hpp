#pragma once

#include <string>

#include "camphorstack/document/document.hpp"
#include "camphorstack/document/object_reader.hpp"

namespace camphorstack {

/// True for "a.b.c.d:port" with decimal numbers in range and a port from 1 to 65535. Host names are not resolved.
[[nodiscard]] bool is_ip_and_port(const std::string& text);

/// Form of ids: they stand in URLs, log fields and metric labels.
inline constexpr const char* id_rule = "must be 1 to 100 letters, digits, '.', '_' or '-'";

/// True if the text has the form of an id.
[[nodiscard]] bool is_id(const std::string& text);

/// True for 64 lower-case hexadecimal digits.
[[nodiscard]] bool is_sha256_text(const std::string& text);

/// Adds an error for each repeated id, key hash or address.
void check_unique(const document& content, error_list& errors);

/// Adds an error for each reference to something that no section defines.
void check_references(const document& content, error_list& errors);

}  // namespace camphorstack
