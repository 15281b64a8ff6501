#pragma once

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Collects errors as "FILE:LINE: text", so that all errors of a file are reported at once.
struct settings_errors {
    std::string file;
    std::vector<std::string> lines;

    void add(int line, const std::string& text);

    /// Throws settings_error with all errors if there are any.
    void throw_if_any() const;
};

/// Reads the keys of one YAML mapping and adds an error for each invalid value. Records the requested keys to detect unknown
/// ones.
class settings_reader {
public:
    /// `mapping_path` is the mapping's path for error messages, such as "seeds[0]"; empty for the root.
    settings_reader(settings_errors& sink, const YAML::Node& mapping, std::string mapping_path);

    /// Reads text that must be present and not empty. Returns an empty string after an error.
    std::string required_text(const std::string& key);
    /// Reads an address "ip:port" that must be present.
    std::string required_address(const std::string& key);
    /// Reads an id that must be present.
    std::string required_id(const std::string& key);
    /// Reads text of at least `min_length` characters. Error messages do not contain the text.
    std::string required_secret(const std::string& key, std::size_t min_length);
    /// Sets `value` to a duration such as "200ms" of at least `lowest` if the key is present.
    void optional_duration(const std::string& key, millis lowest, millis& value);
    /// Sets `value` to a whole number from 1 to 1,000,000 if the key is present.
    void optional_count(const std::string& key, std::size_t& value);
    /// Sets `value` to a size in bytes of at least `lowest` if the key is present. The text is a whole number with the unit MB,
    /// of 2^20 bytes, or KB.
    void optional_size(const std::string& key, std::size_t lowest, std::size_t& value);
    /// Returns the value of the key; an undefined node if the key is absent.
    YAML::Node child(const std::string& key);
    /// Adds an error with the line of the key, or of the mapping if the key is absent.
    void add_error(const std::string& key, const std::string& text);
    /// Adds an error for each key that was not requested before or that is given twice.
    void reject_unknown_keys();

private:
    settings_errors& errors;
    YAML::Node node;
    std::string path;
    std::set<std::string> requested_keys;
};

}  // namespace camphorstack
