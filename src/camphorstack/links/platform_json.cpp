#include "camphorstack/links/platform_json.hpp"

#include <json-glib/json-glib.h>

#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

namespace {

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_conflict = 409;

JsonObject* root_object(JsonParser* parser, const std::string& body) {
    GError* raw_failure = nullptr;
    json_parser_load_from_data(parser, body.data(), static_cast<gssize>(body.size()), &raw_failure);
    const g_error_pointer failure(raw_failure);
    JsonNode* root = failure ? nullptr : json_parser_get_root(parser);
    if (root == nullptr || !JSON_NODE_HOLDS_OBJECT(root)) {
        throw format_error("the platform's answer is not a JSON object");
    }
    return json_node_get_object(root);
}

JsonNode* required_member(JsonObject* object, const char* name) {
    JsonNode* node = json_object_get_member(object, name);
    if (node == nullptr) {
        throw format_error(std::string("the platform's answer lacks ") + name);
    }
    return node;
}

std::uint64_t read_version(JsonObject* object) {
    JsonNode* node = required_member(object, "version");
    if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != G_TYPE_INT64 || json_node_get_int(node) < 0) {
        throw format_error("the platform's answer has a version that is not a number");
    }
    return static_cast<std::uint64_t>(json_node_get_int(node));
}

std::string read_text(JsonObject* object, const char* name) {
    JsonNode* node = required_member(object, name);
    if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != G_TYPE_STRING) {
        throw format_error(std::string("the platform's answer has no text in ") + name);
    }
    return json_node_get_string(node);
}

std::vector<member> read_live_hosts(JsonObject* object) {
    JsonNode* node = required_member(object, "hosts");
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        throw format_error("the platform's host list is not an array");
    }
    JsonArray* array = json_node_get_array(node);
    std::vector<member> hosts;
    for (guint i = 0; i < json_array_get_length(array); ++i) {
        JsonNode* element = json_array_get_element(array, i);
        if (!JSON_NODE_HOLDS_OBJECT(element)) {
            throw format_error("an entry of the platform's host list is not an object");
        }
        JsonObject* host = json_node_get_object(element);
        if (read_text(host, "state") == "live") {
            hosts.push_back({read_text(host, "id"), read_text(host, "address"), read_text(host, "http_address"),
                             read_text(host, "data_centre")});
        }
    }
    return hosts;
}

std::string json_text(JsonNode* node) {
    const g_text text(json_to_string(node, FALSE));
    return text.get();
}

}  // namespace

platform_answer read_platform_answer(const platform_call& call, unsigned http_status, const std::string& body) {
    platform_answer answer{call.id, platform_status::unavailable, 0, "", {}};
    if (http_status == http_not_found) {
        answer.status = platform_status::not_found;
        return answer;
    }
    if (http_status != http_ok && http_status != http_conflict) {
        return answer;
    }
    const auto parser = g_adopt(json_parser_new());
    JsonObject* object = root_object(parser.get(), body);
    if (call.operation == platform_operation::hosts) {
        answer.hosts = read_live_hosts(object);
    } else {
        answer.version = read_version(object);
        if (call.operation != platform_operation::write || http_status == http_conflict) {
            // A conflict with an object that does not exist has no value.
            answer.value = answer.version == 0 ? std::string() : json_text(required_member(object, "value"));
        }
    }
    answer.status = http_status == http_ok ? platform_status::ok : platform_status::conflict;
    return answer;
}

}  // namespace camphorstack
