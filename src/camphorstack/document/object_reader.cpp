#include "camphorstack/document/object_reader.hpp"

#include <utility>

#include "camphorstack/document/checks.hpp"
#include "camphorstack/document/sections.hpp"

namespace camphorstack {

void error_list::add(const std::string& section, int line, const std::string& text) {
    this->lines.push_back(section + (line > 0 ? ":" + std::to_string(line) : "") + ": " + text);
}

void error_list::throw_if_any() const {
    if (this->lines.empty()) {
        return;
    }
    std::string all;
    for (const auto& line : this->lines) {
        all += (all.empty() ? "" : "\n") + line;
    }
    throw document_error(all);
}

object_reader::object_reader(error_list& sink, const json_tree& source, std::string section_name, std::string object_path,
                             JsonObject* fields)
    : errors(sink), tree(source), section(std::move(section_name)), path(std::move(object_path)), object(fields) {}

JsonNode* object_reader::find(const char* name) {
    this->requested_fields.insert(name);
    return json_object_get_member(this->object, name);
}

void object_reader::add_error(const std::string& name, const std::string& text) {
    const std::string separator = this->path.empty() || name.empty() ? "" : ".";
    const std::string place = this->path + separator + name;
    this->errors.add(this->section, this->tree.line_of(this->object), place.empty() ? text : place + ": " + text);
}

std::string object_reader::required_string(const char* name) {
    if (this->find(name) == nullptr) {
        this->add_error(name, "is missing");
        return {};
    }
    const auto value = string_member(this->object, name);
    if (!value || value->empty()) {
        this->add_error(name, "must be a string that is not empty");
        return {};
    }
    return *value;
}

std::string object_reader::required_id(const char* name) {
    auto text = this->required_string(name);
    if (!text.empty() && !is_id(text)) {
        this->add_error(name, id_rule);
    }
    return text;
}

std::string object_reader::optional_string(const char* name) {
    if (this->find(name) == nullptr) {
        return {};
    }
    const auto value = string_member(this->object, name);
    if (!value) {
        this->add_error(name, "must be a string");
    }
    return value.value_or("");
}

std::int64_t object_reader::required_integer(const char* name, std::int64_t lowest, std::int64_t highest) {
    if (this->find(name) == nullptr) {
        this->add_error(name, "is missing");
        return lowest;
    }
    const auto value = integer_member(this->object, name);
    if (!value || *value < lowest || *value > highest) {
        this->add_error(name, "must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return lowest;
    }
    return *value;
}

JsonObject* object_reader::required_object(const char* name) {
    if (this->find(name) == nullptr) {
        this->add_error(name, "is missing");
        return nullptr;
    }
    JsonObject* value = object_member(this->object, name);
    if (value == nullptr) {
        this->add_error(name, "must be an object");
    }
    return value;
}

std::vector<std::string> object_reader::optional_strings(const char* name) {
    if (this->find(name) == nullptr) {
        return {};
    }
    JsonArray* items = array_member(this->object, name);
    if (items == nullptr) {
        this->add_error(name, "must be an array of strings");
        return {};
    }
    std::vector<std::string> values;
    for (guint i = 0; i < json_array_get_length(items); ++i) {
        JsonNode* node = json_array_get_element(items, i);
        const bool is_string = JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_STRING;
        if (!is_string || *json_node_get_string(node) == '\0') {
            this->add_error(std::string{name} + "[" + std::to_string(i) + "]", "must be a string that is not empty");
        } else {
            values.emplace_back(json_node_get_string(node));
        }
    }
    return values;
}

void object_reader::for_each_object(const char* name, bool required, const std::function<void(object_reader&)>& read_item) {
    if (this->find(name) == nullptr) {
        if (required) {
            this->add_error(name, "is missing");
        }
        return;
    }
    JsonArray* items = array_member(this->object, name);
    if (items == nullptr) {
        this->add_error(name, "must be an array of objects");
        return;
    }
    const std::string prefix = (this->path.empty() ? "" : this->path + ".") + name;
    for (guint i = 0; i < json_array_get_length(items); ++i) {
        JsonNode* node = json_array_get_element(items, i);
        const std::string item_path = prefix + "[" + std::to_string(i) + "]";
        if (!JSON_NODE_HOLDS_OBJECT(node)) {
            this->errors.add(this->section, this->tree.line_of(this->object), item_path + ": must be an object");
            continue;
        }
        object_reader item{this->errors, this->tree, this->section, item_path, json_node_get_object(node)};
        read_item(item);
        item.reject_unknown_fields();
    }
}

void object_reader::reject_unknown_fields() {
    JsonObjectIter iterator;
    json_object_iter_init(&iterator, this->object);
    const char* name = nullptr;
    JsonNode* value = nullptr;
    while (json_object_iter_next(&iterator, &name, &value) != FALSE) {
        if (!this->requested_fields.contains(name)) {
            this->add_error(name, "unknown field");
        }
    }
}

}  // namespace camphorstack
