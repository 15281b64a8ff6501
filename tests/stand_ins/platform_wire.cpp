#include "stand_ins/platform_wire.hpp"

#include <json-glib/json-glib.h>

#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::stand_ins {

namespace {

g_pointer<JsonParser> parse(const std::string& text) {
    auto parser = g_adopt(json_parser_new());
    GError* raw_failure = nullptr;
    json_parser_load_from_data(parser.get(), text.data(), static_cast<gssize>(text.size()), &raw_failure);
    const g_error_pointer failure(raw_failure);
    if (failure || json_parser_get_root(parser.get()) == nullptr) {
        throw format_error("not JSON");
    }
    return parser;
}

JsonObject* root_object(JsonParser* parser) {
    JsonNode* root = json_parser_get_root(parser);
    if (!JSON_NODE_HOLDS_OBJECT(root)) {
        throw format_error("not a JSON object");
    }
    return json_node_get_object(root);
}

std::string text_of(JsonObject* object, const char* name) {
    return json_object_get_string_member_with_default(object, name, "");
}

void add_text(JsonBuilder* builder, const char* name, const std::string& value) {
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value.c_str());
}

}  // namespace

platform_faults parse_faults(const std::string& text) {
    const auto parser = parse(text);
    JsonObject* object = root_object(parser.get());
    return {json_object_get_boolean_member_with_default(object, "down", FALSE) != FALSE,
            json_object_get_boolean_member_with_default(object, "silent", FALSE) != FALSE,
            millis{json_object_get_int_member_with_default(object, "slow_ms", 0)},
            json_object_get_boolean_member_with_default(object, "lose_next_answer", FALSE) != FALSE};
}

std::vector<listed_host> parse_hosts(const std::string& text) {
    const auto parser = parse(text);
    JsonObject* object = root_object(parser.get());
    if (!json_object_has_member(object, "hosts") || !JSON_NODE_HOLDS_ARRAY(json_object_get_member(object, "hosts"))) {
        throw format_error("no host list");
    }
    JsonArray* array = json_object_get_array_member(object, "hosts");
    std::vector<listed_host> hosts;
    for (guint i = 0; i < json_array_get_length(array); ++i) {
        if (!JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, i))) {
            throw format_error("a host is not an object");
        }
        JsonObject* host = json_array_get_object_element(array, i);
        hosts.push_back(
            {{text_of(host, "id"), text_of(host, "address"), text_of(host, "http_address"), text_of(host, "data_centre")},
             text_of(host, "state") == "leaving"});
    }
    return hosts;
}

std::string format_hosts(const std::vector<listed_host>& hosts) {
    const auto builder = g_adopt(json_builder_new());
    json_builder_begin_object(builder.get());
    json_builder_set_member_name(builder.get(), "hosts");
    json_builder_begin_array(builder.get());
    for (const auto& host : hosts) {
        json_builder_begin_object(builder.get());
        add_text(builder.get(), "id", host.subject.id);
        add_text(builder.get(), "address", host.subject.address);
        add_text(builder.get(), "http_address", host.subject.http_address);
        add_text(builder.get(), "data_centre", host.subject.location);
        add_text(builder.get(), "state", host.leaving ? "leaving" : "live");
        json_builder_end_object(builder.get());
    }
    json_builder_end_array(builder.get());
    json_builder_end_object(builder.get());
    JsonNode* root = json_builder_get_root(builder.get());
    const g_text text(json_to_string(root, FALSE));
    json_node_unref(root);
    return text.get();
}

bool is_json(const std::string& text) {
    try {
        parse(text);
    } catch (const format_error&) {
        return false;
    }
    return true;
}

}  // namespace camphorstack::stand_ins
