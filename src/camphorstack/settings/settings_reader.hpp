#pragma once

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Collects errors as "FILE:LINE: text", so that all are reported at once.
struct settings_errors {
    std::string file;
    std::vector<std::string> lines;

    void add(int line, const std::string& text);

    /// Throws settings_error with all errors if there are any.
    void throw_if_any() const;
};

/// Reads the keys of one YAML mapping, adds an error for each wrong value, and knows which keys were asked for.
class settings_reader {
public:
    /// `name` names the mapping in errors, such as "seeds[0]"; empty for the file itself.
    settings_reader(settings_errors& sink, const YAML::Node& mapping, std::string name);

    /// Text that must be there and not be empty.
    std::string required_text(const std::string& key);
    /// "ip:port" that must be there.
    std::string required_address(const std::string& key);
    /// An id that must be there.
    std::string required_id(const std::string& key);
    /// Text of at least `min_length` characters. Errors never show it.
    std::string required_secret(const std::string& key, std::size_t min_length);
    /// Replaces `value` by a duration such as "200ms" if the key is there.
    void duration(const std::string& key, millis lowest, millis& value);
    /// Replaces `value` by a whole number from 1 to 1,000,000 if the key is there.
    void count(const std::string& key, std::size_t& value);
    /// The value; an undefined node if the key is absent.
    YAML::Node child(const std::string& key);
    /// Adds an error with the line of the key, or of the mapping if the key is absent.
    void add_error(const std::string& key, const std::string& text);
    /// Adds an error for each key that was never asked for or that is given twice.
    void reject_unknown_keys();

private:
    settings_errors& errors;
    YAML::Node node;
    std::string path;
    std::set<std::string> requested_keys;
};

}  // namespace camphorstack
