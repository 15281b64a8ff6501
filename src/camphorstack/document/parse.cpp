#include "camphorstack/document/checks.hpp"
#include "camphorstack/document/document_file.hpp"
#include "camphorstack/document/section_readers.hpp"
#include "camphorstack/document/stored_document.hpp"

namespace camphorstack {

const std::vector<std::string>& section_names() {
    static const std::vector<std::string> names{"tenancy", "capacity", "data_centres", "databases"};
    return names;
}

bool check_size(const std::string& text, error_list& errors) {
    if (text.size() > max_document_bytes) {
        errors.add("document", 0,
                   "text has " + std::to_string(text.size()) + " bytes, more than " + std::to_string(max_document_bytes));
        return false;
    }
    return true;
}

bool check_syntax(const json_tree& tree, const std::string& section, error_list& errors) {
    for (const auto& fault : tree.errors()) {
        errors.add(section, fault.line, fault.text);
    }
    if (tree.errors().empty() && tree.root() == nullptr) {
        errors.add(section, 0, "must be a JSON object");
    }
    return tree.root() != nullptr;
}

stored_sections find_sections(const json_tree& tree, error_list& errors) {
    stored_sections found;
    object_reader top{errors, tree, "document", "", tree.root()};
    JsonObject* sections = top.required_object("sections");
    top.reject_unknown_fields();
    if (sections == nullptr) {
        return found;
    }
    object_reader reader{errors, tree, "document", "sections", sections};
    for (const auto& name : section_names()) {
        if (json_object_has_member(sections, name.c_str()) == FALSE) {
            continue;
        }
        JsonObject* section = reader.required_object(name.c_str());
        if (section == nullptr) {
            continue;
        }
        object_reader fields{errors, tree, name, "", section};
        stored_section entry;
        entry.version = static_cast<document_version>(fields.required_integer("version", 0, INT64_MAX));
        entry.change_id = fields.optional_string("change_id");
        entry.content = fields.required_object("content");
        entry.tree = &tree;
        fields.reject_unknown_fields();
        if (entry.content != nullptr) {
            found.emplace(name, entry);
        }
    }
    reader.reject_unknown_fields();
    return found;
}

document read_document(const stored_sections& sections, document_version version, error_list& errors) {
    document result;
    result.version = version;
    std::vector<workspace_limit> limits;
    for (const auto& name : section_names()) {
        const auto found = sections.find(name);
        if (found != sections.end()) {
            read_section(name, found->second.content, *found->second.tree, result, limits, errors);
        }
    }
    apply_limits(limits, result, errors);
    check_unique(result, errors);
    check_references(result, errors);
    return result;
}

stored_sections find_section_contents(const json_tree& tree, error_list& errors) {
    stored_sections found;
    object_reader reader{errors, tree, "document", "", tree.root()};
    for (const auto& name : section_names()) {
        if (json_object_has_member(tree.root(), name.c_str()) == FALSE) {
            continue;
        }
        if (JsonObject* content = reader.required_object(name.c_str()); content != nullptr) {
            found.emplace(name, stored_section{0, "", content, &tree});
        }
    }
    reader.reject_unknown_fields();
    return found;
}

void check_document_file(const std::string& text) {
    error_list errors;
    if (!check_size(text, errors)) {
        errors.throw_if_any();
    }
    const json_tree tree{text};
    if (check_syntax(tree, "document", errors)) {
        const bool is_platform_value = json_object_has_member(tree.root(), "sections") != FALSE;
        const auto sections = is_platform_value ? find_sections(tree, errors) : find_section_contents(tree, errors);
        static_cast<void>(read_document(sections, 0, errors));
    }
    errors.throw_if_any();
}

document parse_document(const std::string& text, document_version version) {
    error_list errors;
    if (!check_size(text, errors)) {
        errors.throw_if_any();
    }
    const json_tree tree{text};
    document result;
    if (check_syntax(tree, "document", errors)) {
        result = read_document(find_sections(tree, errors), version, errors);
    }
    errors.throw_if_any();
    return result;
}

}  // namespace camphorstack
