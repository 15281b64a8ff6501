#pragma once

#include <json-glib/json-glib.h>

#include <string>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Writes one JSON object field by field.
class json_writer {
public:
    json_writer() : builder(g_adopt(json_builder_new())) { json_builder_begin_object(this->builder.get()); }

    void text(const char* name, const std::string& value);
    void number(const char* name, std::int64_t value);
    void boolean(const char* name, bool value);
    void begin_object(const char* name);
    void end_object() { json_builder_end_object(this->builder.get()); }

    /// Writes an array of objects; `write_item(item)` adds the fields of one.
    template <typename Items, typename Write>
    void objects(const char* name, const Items& items, Write write_item) {
        this->field(name);
        json_builder_begin_array(this->builder.get());
        for (const auto& item : items) {
            json_builder_begin_object(this->builder.get());
            write_item(item);
            json_builder_end_object(this->builder.get());
        }
        json_builder_end_array(this->builder.get());
    }

    /// Writes an object of numbers.
    template <typename Counts>
    void counts(const char* name, const Counts& values) {
        this->begin_object(name);
        for (const auto& [key, count] : values) {
            this->number(key.c_str(), static_cast<std::int64_t>(count));
        }
        this->end_object();
    }

    /// Ends the object and returns its text.
    [[nodiscard]] std::string finish();

private:
    void field(const char* text) { json_builder_set_member_name(this->builder.get(), text); }

    g_pointer<JsonBuilder> builder;
};

}  // namespace camphorstack
