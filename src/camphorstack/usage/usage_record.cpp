#include "camphorstack/usage/usage_record.hpp"

#include "camphorstack/document/json_tree.hpp"
#include "camphorstack/document/json_values.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/json.hpp"

namespace camphorstack {

namespace {

std::uint64_t read_count(JsonObject* counts, const char* name) {
    const auto count = integer_member(counts, name);
    if (!count || *count < 0) {
        throw format_error("usage record: a count must be a whole number of 0 or more");
    }
    return static_cast<std::uint64_t>(*count);
}

}  // namespace

std::string to_text(const window_counts& record) {
    json_writer out;
    out.begin_object().field("window", record.window).name("counts").begin_array();
    for (const auto& [workspace, count] : record.counts) {
        out.begin_object().field("workspace", workspace).field("count", count).end_object();
    }
    out.end_array().end_object();
    return out.text();
}

window_counts parse_usage_record(const std::string& text) {
    const json_tree tree(text);
    JsonObject* root = tree.root();
    if (!tree.errors().empty() || root == nullptr) {
        throw format_error("usage record: the text is not a JSON object");
    }
    const auto window = integer_member(root, "window");
    JsonArray* counts = array_member(root, "counts");
    if (!window || *window < 0 || counts == nullptr) {
        throw format_error("usage record: \"window\" must be a whole number and \"counts\" an array");
    }
    window_counts record{*window, {}};
    for (guint i = 0; i < json_array_get_length(counts); ++i) {
        JsonNode* node = json_array_get_element(counts, i);
        JsonObject* entry = JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : nullptr;
        const auto workspace = entry == nullptr ? std::nullopt : string_member(entry, "workspace");
        if (!workspace) {
            throw format_error("usage record: each count must name its workspace");
        }
        record.counts[*workspace] = read_count(entry, "count");
    }
    return record;
}

}  // namespace camphorstack
