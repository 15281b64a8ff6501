#include "camphorstack/support/json.hpp"

#include <algorithm>
#include <limits>

#include "camphorstack/support/json_strings.hpp"

namespace camphorstack {

json_writer::json_writer() : builder(g_adopt(json_builder_new())) {}

json_writer& json_writer::begin_object() {
    json_builder_begin_object(this->builder.get());
    return *this;
}

json_writer& json_writer::end_object() {
    json_builder_end_object(this->builder.get());
    return *this;
}

json_writer& json_writer::begin_array() {
    json_builder_begin_array(this->builder.get());
    return *this;
}

json_writer& json_writer::end_array() {
    json_builder_end_array(this->builder.get());
    return *this;
}

json_writer& json_writer::name(const char* member) {
    json_builder_set_member_name(this->builder.get(), member);
    return *this;
}

json_writer& json_writer::value(const std::string& text) {
    const auto marked = mark_json_string(text);
    const g_text valid(g_utf8_make_valid(marked.data(), static_cast<gssize>(marked.size())));
    json_builder_add_string_value(this->builder.get(), valid.get());
    return *this;
}

json_writer& json_writer::value(const char* text) {
    json_builder_add_string_value(this->builder.get(), text);
    return *this;
}

json_writer& json_writer::value(bool flag) {
    json_builder_add_boolean_value(this->builder.get(), flag ? TRUE : FALSE);
    return *this;
}

json_writer& json_writer::value(std::int64_t number) {
    json_builder_add_int_value(this->builder.get(), number);
    return *this;
}

json_writer& json_writer::value(std::uint64_t number) {
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return this->value(static_cast<std::int64_t>(std::min(number, largest)));
}

std::string json_writer::text() const {
    const json_node_pointer root(json_builder_get_root(this->builder.get()));
    const g_text text(json_to_string(root.get(), FALSE));
    return restore_json_escapes(text.get());
}

}  // namespace camphorstack
