#include "camphorstack/cli/host_status.hpp"

#include <functional>

#include "camphorstack/document/json_tree.hpp"

namespace camphorstack {

namespace {

std::string text_of(JsonObject* object, const char* name) {
    return string_member(object, name).value_or("");
}

std::int64_t number_of(JsonObject* object, const char* name) {
    return integer_member(object, name).value_or(0);
}

std::uint64_t count_of(JsonObject* object, const char* name) {
    const auto value = number_of(object, name);
    return value < 0 ? 0 : static_cast<std::uint64_t>(value);
}

/// Reads each object of an array member; skips other elements.
template <typename Item>
std::vector<Item> items_of(JsonObject* parent, const char* name, Item (*read)(JsonObject*)) {
    std::vector<Item> items;
    JsonArray* array = array_member(parent, name);
    const guint length = array == nullptr ? 0 : json_array_get_length(array);
    for (guint i = 0; i < length; ++i) {
        JsonNode* node = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_OBJECT(node)) {
            items.push_back(read(json_node_get_object(node)));
        }
    }
    return items;
}

std::map<std::string, std::uint64_t> counts_of(JsonObject* parent, const char* name) {
    std::map<std::string, std::uint64_t> counts;
    JsonObject* object = object_member(parent, name);
    if (object == nullptr) {
        return counts;
    }
    JsonObjectIter iterator;
    json_object_iter_init(&iterator, object);
    const char* key = nullptr;
    while (json_object_iter_next(&iterator, &key, nullptr) != FALSE) {
        counts[key] = count_of(object, key);
    }
    return counts;
}

listed_member read_member(JsonObject* item) {
    return {{text_of(item, "id"), text_of(item, "address"), text_of(item, "http_address"), text_of(item, "data_centre")},
            text_of(item, "state")};
}

data_centre_status read_data_centre(JsonObject* item) {
    return {text_of(item, "id"), text_of(item, "region"), text_of(item, "state")};
}

endpoint_status read_endpoint(JsonObject* item) {
    JsonObject* position = object_member(item, "position");
    // The position is either an object or the two members position_term and position_index.
    const log_position reported_position = position == nullptr
                                               ? log_position{count_of(item, "position_term"), count_of(item, "position_index")}
                                               : log_position{count_of(position, "term"), count_of(position, "index")};
    const char* connections = json_object_has_member(item, "connections") != FALSE ? "connections" : "open_connections";
    return {text_of(item, "id"),         boolean_member(item, "reachable").value_or(false),
            text_of(item, "role"),       count_of(item, "term"),
            reported_position,           number_of(item, "replication_age_ms"),
            number_of(item, connections)};
}

database_status read_database(JsonObject* item) {
    return {text_of(item, "id"),   text_of(item, "owner"),       text_of(item, "standby"),
            text_of(item, "duty"), number_of(item, "in_flight"), items_of(item, "endpoints", &read_endpoint)};
}

workspace_status read_workspace(JsonObject* item) {
    return {text_of(item, "id"), number_of(item, "rate_per_s"), number_of(item, "burst"), count_of(item, "admitted"),
            counts_of(item, "refused")};
}

explained_decision read_decision(JsonObject* item) {
    return {"", number_of(item, "age_ms"), text_of(item, "kind"), text_of(item, "subject"), text_of(item, "observations")};
}

}  // namespace

std::optional<host_status> parse_host_status(const std::string& body) {
    const json_tree tree{body};
    JsonObject* root = tree.root();
    host_status status{text_of(root, "id"),
                       text_of(root, "data_centre"),
                       count_of(root, "version"),
                       text_of(root, "serving"),
                       boolean_member(root, "leaving").value_or(false),
                       items_of(root, "hosts", &read_member),
                       items_of(root, "data_centres", &read_data_centre),
                       items_of(root, "databases", &read_database),
                       items_of(root, "workspaces", &read_workspace)};
    return status.id.empty() ? std::nullopt : std::optional{std::move(status)};
}

std::optional<host_explanation> parse_host_explanation(const std::string& body) {
    const json_tree tree{body};
    JsonObject* root = tree.root();
    host_explanation explanation{text_of(root, "id"), items_of(root, "decisions", &read_decision), counts_of(root, "refused")};
    for (auto& decision : explanation.decisions) {
        decision.host = explanation.id;
    }
    if (object_member(root, "refused") == nullptr) {
        for (const auto& entry : items_of(root, "workspaces", &read_workspace)) {
            for (const auto& [reason, count] : entry.refused) {
                explanation.refused[reason] += count;
            }
        }
    }
    return explanation.id.empty() ? std::nullopt : std::optional{std::move(explanation)};
}

}  // namespace camphorstack
