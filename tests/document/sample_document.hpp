#pragma once

#include <string>

namespace camphorstack {

/// Contents of the four sections of a valid document.
struct sample_sections {
    std::string tenancy = R"({
  "workspaces": [
    {"id": "cashiers", "keys": [{"id": "k1", "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]},
    {"id": "verifiers", "keys": []}
  ],
  "routes": [{"id": "serials", "service": "serial-registry", "workspaces": ["cashiers", "verifiers"], "open_workspace": "cashiers"}]
})";
    std::string capacity = R"({"limits": [{"workspace": "cashiers", "rate_per_s": 100, "burst": 20}]})";
    std::string data_centres = R"({
  "data_centres": [
    {"id": "amman-a", "region": "north", "state": "in"},
    {"id": "irbid-a", "region": "north", "state": "out"}
  ]
})";
    std::string databases = R"({
  "databases": [
    {"id": "serials-1", "service": "serial-registry", "endpoints": [
      {"id": "serials-1-a", "data_centre": "amman-a", "address": "127.0.0.1:7001", "slots": 2, "connections": 16, "state": "in"},
      {"id": "serials-1-b", "data_centre": "irbid-a", "address": "127.0.0.1:7002", "slots": 2, "connections": 16, "state": "out"}
    ]}
  ]
})";
};

/// Returns the platform object's value with these section contents.
inline std::string sample_document(const sample_sections& sections = {}) {
    const auto entry = [](const char* name, int version, const std::string& content) {
        return std::string{"\""} + name + "\": {\"version\": " + std::to_string(version) + ", \"change_id\": \"c" +
               std::to_string(version) + "\", \"content\": " + content + "}";
    };
    return "{\"sections\": {" + entry("data_centres", 1, sections.data_centres) + ",\n" +
           entry("databases", 2, sections.databases) + ",\n" + entry("tenancy", 3, sections.tenancy) + ",\n" +
           entry("capacity", 4, sections.capacity) + "}}";
}

}  // namespace camphorstack
