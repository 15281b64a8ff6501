#include "camphorstack/cli/json_writer.hpp"

#include "camphorstack/document/json_tree.hpp"

namespace camphorstack {

void json_writer::text(const char* name, const std::string& value) {
    this->field(name);
    json_builder_add_string_value(this->builder.get(), value.c_str());
}

void json_writer::number(const char* name, std::int64_t value) {
    this->field(name);
    json_builder_add_int_value(this->builder.get(), value);
}

void json_writer::boolean(const char* name, bool value) {
    this->field(name);
    json_builder_add_boolean_value(this->builder.get(), value ? TRUE : FALSE);
}

void json_writer::begin_object(const char* name) {
    this->field(name);
    json_builder_begin_object(this->builder.get());
}

std::string json_writer::finish() {
    json_builder_end_object(this->builder.get());
    const json_node_handle root{json_builder_get_root(this->builder.get())};
    return to_json_text(root.get());
}

}  // namespace camphorstack
