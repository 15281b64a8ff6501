#include "camphorstack/document/checks.hpp"
#include "camphorstack/document/stored_document.hpp"

namespace camphorstack {

std::string format_members(const std::vector<member>& hosts) {
    JsonArray* items = json_array_new();
    for (const auto& host : hosts) {
        JsonObject* item = json_object_new();
        json_object_set_string_member(item, "id", host.id.c_str());
        json_object_set_string_member(item, "address", host.address.c_str());
        json_object_set_string_member(item, "http_address", host.http_address.c_str());
        json_object_set_string_member(item, "data_centre", host.location.c_str());
        json_array_add_object_element(items, item);
    }
    JsonObject* root = json_object_new();
    json_object_set_array_member(root, "hosts", items);
    const json_node_pointer node{json_node_new(JSON_NODE_OBJECT)};
    json_node_take_object(node.get(), root);
    return to_json_text(node.get());
}

std::vector<member> parse_members(const std::string& text) {
    error_list errors;
    std::vector<member> hosts;
    const json_tree tree{text};
    if (check_syntax(tree, "members", errors)) {
        object_reader reader{errors, tree, "members", "", tree.root()};
        reader.for_each_object("hosts", true, [&](object_reader& item) {
            hosts.push_back({item.required_string("id"), item.required_string("address"), item.required_string("http_address"),
                             item.required_string("data_centre")});
            for (const auto& address : {hosts.back().address, hosts.back().http_address}) {
                if (!address.empty() && !is_ip_and_port(address)) {
                    item.add_error("", "bad address \"" + address + "\"");
                }
            }
        });
        reader.reject_unknown_fields();
    }
    errors.throw_if_any();
    return hosts;
}

}  // namespace camphorstack
