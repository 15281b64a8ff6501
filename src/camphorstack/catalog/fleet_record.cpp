#include "camphorstack/catalog/fleet_record.hpp"

#include <algorithm>

#include "camphorstack/document/json_tree.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/json.hpp"

namespace camphorstack {

namespace {

constexpr const char* leader_prefix = "leader-";
constexpr const char* claim_prefix = "claim-";

void write_member(json_writer& out, const member& host) {
    out.begin_object()
        .field("id", host.id)
        .field("address", host.address)
        .field("http_address", host.http_address)
        .field("data_centre", host.location)
        .end_object();
}

struct record_writer {
    json_writer& out;

    void operator()(const coordinator_record& record) const {
        this->out.name("host");
        write_member(this->out, record.host);
        this->out.field("nonce", record.nonce).field("fence", record.fence);
    }
    void operator()(const members_record& record) const {
        this->out.field("epoch", record.list.epoch).name("hosts").begin_array();
        for (const auto& host : record.list.hosts) {
            write_member(this->out, host);
        }
        this->out.end_array().name("unreachable").begin_array();
        for (const auto& host : record.unreachable) {
            this->out.begin_object().field("id", host.id).field("absence", host.interval).end_object();
        }
        this->out.end_array().name("leaving").begin_array();
        for (const auto& host : record.leaving) {
            this->out.value(host);
        }
        this->out.end_array().field("absences", record.last_unreachable_interval);
    }
    void operator()(const unreachable_claim& record) const {
        this->out.field("host", record.host).field("absence", record.interval);
    }
    void operator()(const leader_record& record) const {
        this->out.field("database", record.database)
            .field("endpoint", record.endpoint)
            .field("phase", record.phase == leader_phase::serving ? "serving" : "changing")
            .field("planned", record.planned)
            .field("round", record.round);
    }
};

std::string required_text(JsonObject* object, const char* name) {
    auto value = string_member(object, name);
    if (!value) {
        throw format_error(std::string("fleet record: \"") + name + "\" must be a string");
    }
    return *value;
}

std::uint64_t required_number(JsonObject* object, const char* name) {
    const auto value = integer_member(object, name);
    if (!value || *value < 0) {
        throw format_error(std::string("fleet record: \"") + name + "\" must be a whole number of 0 or more");
    }
    return static_cast<std::uint64_t>(*value);
}

member read_member(JsonObject* object) {
    if (object == nullptr) {
        throw format_error("fleet record: a host must be a JSON object");
    }
    return {required_text(object, "id"), required_text(object, "address"), required_text(object, "http_address"),
            required_text(object, "data_centre")};
}

members_record read_members(JsonObject* root) {
    members_record record;
    record.list.epoch = required_number(root, "epoch");
    JsonArray* hosts = array_member(root, "hosts");
    JsonArray* unreachable = array_member(root, "unreachable");
    JsonArray* leaving = array_member(root, "leaving");
    if (hosts == nullptr || unreachable == nullptr || leaving == nullptr) {
        throw format_error("fleet record: \"hosts\", \"unreachable\" and \"leaving\" must be arrays");
    }
    for (guint i = 0; i < json_array_get_length(hosts); ++i) {
        JsonNode* node = json_array_get_element(hosts, i);
        record.list.hosts.push_back(read_member(JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : nullptr));
    }
    for (guint i = 0; i < json_array_get_length(unreachable); ++i) {
        JsonNode* node = json_array_get_element(unreachable, i);
        JsonObject* host = JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : nullptr;
        if (host == nullptr) {
            throw format_error("fleet record: the elements of \"unreachable\" must be objects");
        }
        record.unreachable.push_back({required_text(host, "id"), required_number(host, "absence")});
    }
    for (guint i = 0; i < json_array_get_length(leaving); ++i) {
        auto text = string_value(json_array_get_element(leaving, i));
        if (!text) {
            throw format_error("fleet record: the elements of \"leaving\" must be strings");
        }
        record.leaving.push_back(std::move(*text));
    }
    record.last_unreachable_interval = required_number(root, "absences");
    return record;
}

leader_record read_leader(JsonObject* root) {
    leader_record record;
    record.database = required_text(root, "database");
    record.endpoint = required_text(root, "endpoint");
    const auto phase = required_text(root, "phase");
    if (phase != "serving" && phase != "changing") {
        throw format_error("fleet record: \"phase\" must be \"serving\" or \"changing\"");
    }
    record.phase = phase == "serving" ? leader_phase::serving : leader_phase::changing;
    record.planned = boolean_member(root, "planned").value_or(false);
    record.round = required_number(root, "round");
    return record;
}

}  // namespace

std::string leader_object_name(const database_id& database) {
    return leader_prefix + database;
}

std::string object_name(const fleet_record& record) {
    if (const auto* leader = std::get_if<leader_record>(&record)) {
        return leader_object_name(leader->database);
    }
    if (const auto* claim = std::get_if<unreachable_claim>(&record)) {
        return claim_prefix + claim->host;
    }
    return std::holds_alternative<members_record>(record) ? members_record::name : coordinator_record::name;
}

const unreachable_member* find_unreachable(const members_record& record, const host_id& id) {
    const auto found = std::ranges::find(record.unreachable, id, &unreachable_member::id);
    return found == record.unreachable.end() ? nullptr : &*found;
}

std::string to_text(const fleet_record& record) {
    json_writer out;
    out.begin_object();
    std::visit(record_writer{out}, record);
    out.end_object();
    return out.text();
}

fleet_record parse_fleet_record(const std::string& name, const std::string& text) {
    const json_tree tree(text);
    JsonObject* root = tree.root();
    if (!tree.errors().empty() || root == nullptr) {
        throw format_error("fleet record: the text is not a JSON object");
    }
    if (name == coordinator_record::name) {
        return coordinator_record{read_member(object_member(root, "host")), required_text(root, "nonce"),
                                  required_number(root, "fence")};
    }
    if (name == members_record::name) {
        return read_members(root);
    }
    if (name.starts_with(claim_prefix)) {
        unreachable_claim claim{required_text(root, "host"), required_number(root, "absence")};
        if (name != object_name(claim)) {
            throw format_error("fleet record: \"" + name + "\" does not match the host in its text");
        }
        return claim;
    }
    auto leader = read_leader(root);
    if (name != leader_object_name(leader.database)) {
        throw format_error("fleet record: \"" + name + "\" does not match the database in its text");
    }
    return leader;
}

}  // namespace camphorstack
