#include "camphorstack/document/checks.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace camphorstack {

namespace {

/// Reads a decimal number without sign or leading zero. Returns -1 if the text is not such a number or if it exceeds `highest`.
int read_number(const std::string& text, int highest) {
    if (text.empty() || (text.size() > 1 && text.front() == '0') || text.front() == '-') {
        return -1;
    }
    int value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc{} && result.ptr == end && value <= highest ? value : -1;
}

/// Adds an error for each value that is added more than once.
class duplicate_finder {
public:
    /// `prefix` names the surrounding object in errors, such as "route \"main\": ". It is empty for values of the section itself.
    duplicate_finder(error_list& sink, std::string section_name, std::string description, std::string prefix = "")
        : errors(sink),
          section(std::move(section_name)),
          value_description(std::move(description)),
          object_prefix(std::move(prefix)) {}

    void add(const std::string& value) {
        if (!value.empty() && !this->seen.insert(value).second) {
            this->errors.add(this->section, 0,
                             this->object_prefix + "duplicate " + this->value_description + " \"" + value + "\"");
        }
    }

private:
    error_list& errors;
    std::string section;
    std::string value_description;
    std::string object_prefix;
    std::set<std::string> seen;
};

void check_unique_keys(const document& content, error_list& errors) {
    duplicate_finder hashes{errors, "tenancy", "sha256"};
    for (const auto& owner : content.workspaces) {
        duplicate_finder ids{errors, "tenancy", "key id", "workspace \"" + owner.id + "\": "};
        for (const auto& key : owner.keys) {
            ids.add(key.id);
            // If two workspaces had the same hash, a caller with the key of one could act as the other.
            hashes.add(key.sha256);
        }
    }
}

}  // namespace

bool is_ip_and_port(const std::string& text) {
    constexpr int highest_byte = 255;
    constexpr int highest_port = 65535;
    constexpr int bytes = 4;
    std::size_t start = 0;
    for (int i = 0; i < bytes; ++i) {
        const auto end = text.find(i + 1 < bytes ? '.' : ':', start);
        if (end == std::string::npos || read_number(text.substr(start, end - start), highest_byte) < 0) {
            return false;
        }
        start = end + 1;
    }
    return read_number(text.substr(start), highest_port) > 0;
}

bool is_id(const std::string& text) {
    constexpr std::size_t max_length = 100;
    return !text.empty() && text.size() <= max_length && std::ranges::all_of(text, [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-';
    });
}

bool is_sha256_text(const std::string& text) {
    constexpr std::size_t digits = 64;
    return text.size() == digits &&
           std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

void check_unique(const document& content, error_list& errors) {
    duplicate_finder workspaces{errors, "tenancy", "workspace id"};
    for (const auto& item : content.workspaces) {
        workspaces.add(item.id);
    }
    check_unique_keys(content, errors);
    duplicate_finder routes{errors, "tenancy", "route id"};
    for (const auto& item : content.routes) {
        routes.add(item.id);
        duplicate_finder route_workspaces{errors, "tenancy", "workspace", "route \"" + item.id + "\": "};
        std::ranges::for_each(item.workspaces, [&](const auto& id) { route_workspaces.add(id); });
    }
    duplicate_finder data_centres{errors, "data_centres", "data centre id"};
    for (const auto& item : content.data_centres) {
        data_centres.add(item.id);
    }
    duplicate_finder databases{errors, "databases", "database id"};
    duplicate_finder endpoints{errors, "databases", "endpoint id"};
    duplicate_finder addresses{errors, "databases", "endpoint address"};
    for (const auto& item : content.databases) {
        databases.add(item.id);
        for (const auto& instance : item.endpoints) {
            endpoints.add(instance.id);
            addresses.add(instance.address);
        }
    }
}

void check_references(const document& content, error_list& errors) {
    std::set<std::string> services;
    for (const auto& group : content.databases) {
        services.insert(group.service);
        for (const auto& instance : group.endpoints) {
            if (!instance.location.empty() &&
                std::ranges::find(content.data_centres, instance.location, &data_centre::id) == content.data_centres.end()) {
                errors.add("databases", 0,
                           "endpoint \"" + instance.id + "\" is in unknown data centre \"" + instance.location + "\"");
            }
        }
    }
    for (const auto& item : content.routes) {
        if (!item.service.empty() && !services.contains(item.service)) {
            errors.add("tenancy", 0, "route \"" + item.id + "\" leads to unknown service \"" + item.service + "\"");
        }
        auto named = item.workspaces;
        if (!item.open_workspace.empty()) {
            named.push_back(item.open_workspace);
        }
        for (const auto& id : named) {
            if (find_workspace(content, id) == nullptr) {
                errors.add("tenancy", 0, "route \"" + item.id + "\" names unknown workspace \"" + id + "\"");
            }
        }
    }
}

}  // namespace camphorstack
