#include "camphorstack/document/stored_document.hpp"

namespace camphorstack {

std::string format_term_record(const term_record& record) {
    JsonObject* root = json_object_new();
    json_object_set_int_member(root, "last_term", static_cast<gint64>(record.last_term));
    json_object_set_string_member(root, "writer", record.writer.c_str());
    const json_node_pointer node{json_node_new(JSON_NODE_OBJECT)};
    json_node_take_object(node.get(), root);
    return to_json_text(node.get());
}

term_record parse_term_record(const std::string& text) {
    error_list errors;
    term_record record;
    const json_tree tree{text};
    if (check_syntax(tree, "terms", errors)) {
        object_reader reader{errors, tree, "terms", "", tree.root()};
        record.last_term = static_cast<std::uint64_t>(reader.required_integer("last_term", 0, INT64_MAX));
        record.writer = reader.optional_string("writer");
        reader.reject_unknown_fields();
    }
    errors.throw_if_any();
    return record;
}

}  // namespace camphorstack
