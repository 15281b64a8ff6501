#include "camphorstack/document/document_file.hpp"

#include <algorithm>

#include "camphorstack/document/stored_document.hpp"

namespace camphorstack {

namespace {

/// Returns the sections of the platform object's value without those that cannot be read; empty if the value is not a JSON
/// object.
stored_sections sections_of(const json_tree& tree) {
    error_list errors;
    return tree.root() == nullptr ? stored_sections{} : find_sections(tree, errors);
}

}  // namespace

std::optional<section_entry> find_section(const std::string& current, const std::string& section) {
    const json_tree tree{current};
    const auto sections = sections_of(tree);
    const auto found = sections.find(section);
    if (found == sections.end()) {
        return std::nullopt;
    }
    const json_node_pointer node{json_node_new(JSON_NODE_OBJECT)};
    json_node_set_object(node.get(), found->second.content);
    return section_entry{found->second.version, found->second.change_id, to_pretty_json_text(node.get())};
}

bool has_change_at(const std::string& current, document_version version) {
    const json_tree tree{current};
    return std::ranges::any_of(sections_of(tree), [&](const auto& entry) { return entry.second.version == version; });
}

}  // namespace camphorstack
