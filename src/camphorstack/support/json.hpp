#pragma once

#include <json-glib/json-glib.h>

#include <cstdint>
#include <memory>
#include <string>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

struct json_node_deleter {
    void operator()(JsonNode* node) const { json_node_unref(node); }
};
using json_node_pointer = std::unique_ptr<JsonNode, json_node_deleter>;

/// Writes JSON text with json-glib. Invalid UTF-8 in a std::string value is replaced by U+FFFD.
class json_writer {
public:
    json_writer();

    json_writer& begin_object();
    json_writer& end_object();
    json_writer& begin_array();
    json_writer& end_array();
    json_writer& name(const char* member);
    json_writer& value(const std::string& text);
    json_writer& value(const char* text);
    json_writer& value(bool flag);
    json_writer& value(std::int64_t number);
    json_writer& value(std::uint64_t number);

    template <typename Value>
    json_writer& field(const char* member, const Value& content) {
        return this->name(member).value(content);
    }

    /// Returns the JSON text. The root value must be complete.
    [[nodiscard]] std::string text() const;

private:
    g_pointer<JsonBuilder> builder;
};

}  // namespace camphorstack
