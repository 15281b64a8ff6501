#include <algorithm>

#include "camphorstack/document/stored_document.hpp"

namespace camphorstack {

namespace {

std::string write_sections(const stored_sections& sections) {
    JsonObject* entries = json_object_new();
    for (const auto& name : section_names()) {
        const auto found = sections.find(name);
        if (found == sections.end()) {
            continue;
        }
        JsonObject* entry = json_object_new();
        json_object_set_int_member(entry, "version", static_cast<gint64>(found->second.version));
        json_object_set_string_member(entry, "change_id", found->second.change_id.c_str());
        json_object_set_object_member(entry, "content", json_object_ref(found->second.content));
        json_object_set_object_member(entries, name.c_str(), entry);
    }
    JsonObject* root = json_object_new();
    json_object_set_object_member(root, "sections", entries);
    const json_node_pointer node{json_node_new(JSON_NODE_OBJECT)};
    json_node_take_object(node.get(), root);
    return to_json_text(node.get());
}

void check_change(const section_change& change, error_list& errors) {
    if (std::ranges::find(section_names(), change.section) == section_names().end()) {
        errors.add(change.section, 0, "unknown section");
    }
    if (change.change_id.empty()) {
        errors.add(change.section, 0, "the change has no id");
    }
    check_size(change.content, errors);
    errors.throw_if_any();
}

std::string merge_into(stored_sections sections, document_version current_version, const section_change& change,
                       error_list& errors) {
    const auto previous = sections.find(change.section);
    const document_version section_version = previous == sections.end() ? 0 : previous->second.version;
    // A version above the newest one was read from another platform, or from one that has lost its data.
    if (section_version > change.read_version || change.read_version > current_version) {
        throw section_conflict(change.section, change.read_version, section_version);
    }
    const json_tree content{change.content};
    if (!check_syntax(content, change.section, errors)) {
        errors.throw_if_any();
    }
    sections[change.section] = stored_section{current_version + 1, change.change_id, content.root(), &content};
    static_cast<void>(read_document(sections, current_version + 1, errors));
    errors.throw_if_any();
    std::string merged = write_sections(sections);
    check_size(merged, errors);
    errors.throw_if_any();
    return merged;
}

}  // namespace

section_conflict::section_conflict(const std::string& section, document_version read, document_version current)
    : error("section " + section + " was read at version " + std::to_string(read) + " but last changed at version " +
            std::to_string(current)),
      read_version(read),
      current_version(current) {}

std::string merge_section(const std::string& current, document_version current_version, const section_change& change) {
    error_list errors;
    check_change(change, errors);
    if (current.empty()) {
        return merge_into({}, current_version, change, errors);
    }
    const json_tree tree{current};
    if (!check_syntax(tree, "document", errors)) {
        errors.throw_if_any();
    }
    return merge_into(find_sections(tree, errors), current_version, change, errors);
}

bool is_last_change(const std::string& current, const std::string& section, const std::string& change_id) {
    if (current.empty() || change_id.empty()) {
        return false;
    }
    const json_tree tree{current};
    error_list errors;
    if (!check_syntax(tree, "document", errors)) {
        return false;
    }
    const auto sections = find_sections(tree, errors);
    const auto found = sections.find(section);
    return found != sections.end() && found->second.change_id == change_id;
}

}  // namespace camphorstack
