#include "camphorstack/document/section_readers.hpp"

#include <algorithm>
#include <set>

#include "camphorstack/document/checks.hpp"

namespace camphorstack {

namespace {

/// Bound on rates and bursts: thousandths of it, times hours in milliseconds, still fit 64 bits.
constexpr std::int64_t max_rate = 1'000'000'000;
constexpr std::int64_t max_connections = 100'000;

admin_state read_admin_state(object_reader& reader) {
    const auto text = reader.optional_string("state");
    if (!text.empty() && text != "in" && text != "out") {
        reader.add_error("state", "must be \"in\" or \"out\"");
    }
    return text == "out" ? admin_state::out : admin_state::in;
}

key_hash read_key(object_reader& reader) {
    key_hash key{reader.required_id("id"), reader.required_string("sha256")};
    if (!key.sha256.empty() && !is_sha256_text(key.sha256)) {
        reader.add_error("sha256", "must be 64 lower-case hexadecimal digits");
    }
    return key;
}

workspace read_workspace(object_reader& reader) {
    workspace result;
    result.id = reader.required_id("id");
    reader.for_each_object("keys", false, [&](object_reader& item) { result.keys.push_back(read_key(item)); });
    return result;
}

route read_route(object_reader& reader) {
    route result;
    result.id = reader.required_id("id");
    result.service = reader.required_id("service");
    result.workspaces = reader.optional_strings("workspaces");
    result.open_workspace = reader.optional_string("open_workspace");
    return result;
}

data_centre read_data_centre(object_reader& reader) {
    data_centre result;
    result.id = reader.required_id("id");
    result.region = reader.required_id("region");
    result.state = read_admin_state(reader);
    return result;
}

endpoint read_endpoint(object_reader& reader) {
    endpoint result;
    result.id = reader.required_id("id");
    result.location = reader.required_string("data_centre");
    result.address = reader.required_string("address");
    if (!result.address.empty() && !is_ip_and_port(result.address)) {
        reader.add_error("address", "must be an IP number and a port, such as 127.0.0.1:7001");
    }
    result.slots = static_cast<int>(reader.required_integer("slots", 1, max_connections));
    result.connections = static_cast<int>(reader.required_integer("connections", 1, max_connections));
    result.state = read_admin_state(reader);
    return result;
}

database read_database(object_reader& reader) {
    database result;
    result.id = reader.required_id("id");
    result.service = reader.required_id("service");
    reader.for_each_object("endpoints", true, [&](object_reader& item) { result.endpoints.push_back(read_endpoint(item)); });
    if (result.endpoints.empty()) {
        reader.add_error("endpoints", "a database needs at least one endpoint");
    }
    return result;
}

workspace_limit read_limit(object_reader& reader) {
    return {reader.required_string("workspace"), reader.required_integer("rate_per_s", 1, max_rate),
            reader.required_integer("burst", 1, max_rate), reader.line()};
}

}  // namespace

void read_section(const std::string& section, JsonObject* content, const json_tree& tree, document& target,
                  std::vector<workspace_limit>& limits, error_list& errors) {
    object_reader reader{errors, tree, section, "", content};
    if (section == "tenancy") {
        reader.for_each_object("workspaces", false,
                               [&](object_reader& item) { target.workspaces.push_back(read_workspace(item)); });
        reader.for_each_object("routes", false, [&](object_reader& item) { target.routes.push_back(read_route(item)); });
    } else if (section == "capacity") {
        reader.for_each_object("limits", false, [&](object_reader& item) { limits.push_back(read_limit(item)); });
    } else if (section == "data_centres") {
        reader.for_each_object("data_centres", false,
                               [&](object_reader& item) { target.data_centres.push_back(read_data_centre(item)); });
    } else if (section == "databases") {
        reader.for_each_object("databases", false, [&](object_reader& item) { target.databases.push_back(read_database(item)); });
    }
    reader.reject_unknown_fields();
}

void apply_limits(const std::vector<workspace_limit>& limits, document& target, error_list& errors) {
    std::set<workspace_id> seen;
    for (const auto& limit : limits) {
        if (limit.workspace.empty()) {
            continue;
        }
        const auto found = std::ranges::find(target.workspaces, limit.workspace, &workspace::id);
        if (found == target.workspaces.end()) {
            errors.add("capacity", limit.line, "limit for unknown workspace \"" + limit.workspace + "\"");
            continue;
        }
        if (!seen.insert(limit.workspace).second) {
            errors.add("capacity", limit.line, "second limit for workspace \"" + limit.workspace + "\"");
            continue;
        }
        found->rate_per_s = limit.rate_per_s;
        found->burst = limit.burst;
    }
}

}  // namespace camphorstack
