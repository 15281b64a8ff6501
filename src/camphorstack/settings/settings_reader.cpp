#include "camphorstack/settings/settings_reader.hpp"

#include <charconv>
#include <optional>
#include <utility>

#include "camphorstack/document/checks.hpp"
#include "camphorstack/settings/daemon_settings.hpp"

namespace camphorstack {

namespace {

constexpr millis max_duration{24LL * 60 * 60 * 1000};
constexpr std::size_t max_count = 1'000'000;

std::optional<std::int64_t> read_whole_number(const std::string& text) {
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    const bool is_whole = !text.empty() && result.ec == std::errc{} && result.ptr == end && value >= 0;
    return is_whole ? std::optional{value} : std::nullopt;
}

/// Reads a duration such as "200ms", "5s" or "2min". Returns nullopt and sets `error_text` if the text is not valid.
std::optional<millis> read_duration(const std::string& text, std::string& error_text) {
    const auto unit_start = text.find_first_not_of("0123456789");
    if (unit_start == std::string::npos) {
        error_text = text.empty() ? "must be a duration such as 200ms" : "missing unit: write " + text + "ms or " + text + "s";
        return std::nullopt;
    }
    const auto number = read_whole_number(text.substr(0, unit_start));
    const auto unit = text.substr(unit_start);
    const std::int64_t factor = unit == "ms" ? 1 : unit == "s" ? 1000 : unit == "min" ? 60'000 : 0;
    if (!number) {
        error_text = "must be a whole number with a unit, such as 200ms";
    } else if (factor == 0) {
        error_text = "wrong unit \"" + unit + "\": must be ms, s or min";
    } else if (*number > max_duration.count / factor) {
        error_text = "must be at most 24 hours";
    } else {
        return millis{*number * factor};
    }
    return std::nullopt;
}

int line_of(const YAML::Node& node) {
    return node.Mark().line + 1;
}

}  // namespace

void settings_errors::add(int line, const std::string& text) {
    this->lines.push_back(this->file + ":" + std::to_string(line < 1 ? 1 : line) + ": " + text);
}

void settings_errors::throw_if_any() const {
    if (this->lines.empty()) {
        return;
    }
    std::string all;
    for (const auto& line : this->lines) {
        all += (all.empty() ? "" : "\n") + line;
    }
    throw settings_error(all);
}

settings_reader::settings_reader(settings_errors& sink, const YAML::Node& mapping, std::string mapping_path)
    : errors(sink), node(mapping), path(std::move(mapping_path)) {}

YAML::Node settings_reader::child(const std::string& key) {
    this->requested_keys.insert(key);
    // Looking up a key through a non-const YAML::Node would add the key to the mapping.
    const YAML::Node& lookup = this->node;
    return lookup[key];
}

void settings_reader::add_error(const std::string& key, const std::string& text) {
    const YAML::Node value = this->child(key);
    const std::string name = this->path.empty() ? key : this->path + "." + key;
    this->errors.add(value.IsDefined() ? line_of(value) : line_of(this->node), name + ": " + text);
}

std::string settings_reader::required_text(const std::string& key) {
    const YAML::Node value = this->child(key);
    if (!value.IsDefined()) {
        this->add_error(key, "is missing");
    } else if (!value.IsScalar() || value.Scalar().empty()) {
        this->add_error(key, "must be text that is not empty");
    } else {
        return value.Scalar();
    }
    return {};
}

std::string settings_reader::required_address(const std::string& key) {
    auto text = this->required_text(key);
    if (!text.empty() && !is_ip_and_port(text)) {
        this->add_error(key, "must be an IP number and a port, such as 127.0.0.1:7001");
    }
    return text;
}

std::string settings_reader::required_id(const std::string& key) {
    auto text = this->required_text(key);
    if (!text.empty() && !is_id(text)) {
        this->add_error(key, id_rule);
    }
    return text;
}

std::string settings_reader::required_secret(const std::string& key, std::size_t min_length) {
    auto text = this->required_text(key);
    if (!text.empty() && text.size() < min_length) {
        this->add_error(key, "must have at least " + std::to_string(min_length) + " characters");
    }
    return text;
}

void settings_reader::optional_duration(const std::string& key, millis lowest, millis& value) {
    const YAML::Node text = this->child(key);
    if (!text.IsDefined()) {
        return;
    }
    std::string error_text;
    const auto read = read_duration(text.IsScalar() ? text.Scalar() : "", error_text);
    if (!read) {
        this->add_error(key, error_text);
    } else if (*read < lowest) {
        this->add_error(key, "must be at least " + std::to_string(lowest.count) + "ms");
    } else {
        value = *read;
    }
}

void settings_reader::optional_count(const std::string& key, std::size_t& value) {
    const YAML::Node text = this->child(key);
    if (!text.IsDefined()) {
        return;
    }
    const auto read = read_whole_number(text.IsScalar() ? text.Scalar() : "");
    if (!read || *read < 1 || static_cast<std::size_t>(*read) > max_count) {
        this->add_error(key, "must be a whole number from 1 to " + std::to_string(max_count));
    } else {
        value = static_cast<std::size_t>(*read);
    }
}

void settings_reader::optional_size(const std::string& key, std::size_t lowest, std::size_t& value) {
    const YAML::Node given = this->child(key);
    if (!given.IsDefined()) {
        return;
    }
    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t suffix_length = 2;
    const std::string text = given.IsScalar() ? given.Scalar() : "";
    const std::size_t unit = text.ends_with("MB") ? kibibyte * kibibyte : text.ends_with("KB") ? kibibyte : 0;
    const auto read = unit == 0 ? std::nullopt : read_whole_number(text.substr(0, text.size() - suffix_length));
    if (!read || *read < 1 || static_cast<std::size_t>(*read) > max_count || static_cast<std::size_t>(*read) * unit < lowest) {
        this->add_error(key, "must be a size of at least " + std::to_string((lowest + kibibyte - 1) / kibibyte) +
                                 "KB, such as 160MB or 512KB");
    } else {
        value = static_cast<std::size_t>(*read) * unit;
    }
}

void settings_reader::reject_unknown_keys() {
    std::set<std::string> seen;
    for (const auto& entry : this->node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
        const std::string name = this->path.empty() ? key : this->path + "." + key;
        if (!this->requested_keys.contains(key)) {
            this->errors.add(line_of(entry.first), name + ": unknown key");
        } else if (!seen.insert(key).second) {
            this->errors.add(line_of(entry.first), name + ": is given twice");
        }
    }
}

}  // namespace camphorstack
