#include <algorithm>

#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/support/json.hpp"

namespace camphorstack {

namespace {

void write_host(json_writer& out, const fleet_host& host) {
    out.begin_object().field("id", host.listed.subject.id).field("http_address", host.listed.subject.http_address);
    out.field("data_centre", host.listed.subject.location).field("state", host.listed.state);
    out.field("answered", host.status.has_value());
    if (host.status) {
        out.field("version", host.status->version).field("serving", host.status->serving);
        out.field("leaving", host.status->leaving);
    } else {
        out.field("fault", host.fault);
    }
    out.end_object();
}

void write_endpoint(json_writer& out, const endpoint_status& item) {
    out.begin_object().field("id", item.id).field("reachable", item.reachable).field("role", item.role);
    out.field("term", item.term).name("position").begin_object();
    out.field("term", item.position.term).field("index", item.position.index).end_object();
    out.field("replication_age_ms", item.replication_age_ms).field("open_connections", item.open_connections).end_object();
}

void write_database(json_writer& out, const fleet_database& entry) {
    out.begin_object().field("id", entry.status.id).field("seen_by", entry.seen_by).field("owner", entry.status.owner);
    out.field("standby", entry.status.standby).field("duty", entry.status.duty).field("in_flight", entry.status.in_flight);
    out.name("endpoints").begin_array();
    std::ranges::for_each(entry.status.endpoints, [&](const auto& item) { write_endpoint(out, item); });
    out.end_array().end_object();
}

void write_workspace(json_writer& out, const workspace_status& item) {
    out.begin_object().field("id", item.id).field("rate_per_s", item.rate_per_s).field("burst", item.burst);
    out.field("admitted", item.admitted).name("refused").begin_object();
    for (const auto& [reason, count] : item.refused) {
        out.field(reason.c_str(), count);
    }
    out.end_object().end_object();
}

}  // namespace

std::string format_status_json(const fleet_status& status) {
    json_writer out;
    out.begin_object().name("hosts").begin_array();
    std::ranges::for_each(status.hosts, [&](const auto& item) { write_host(out, item); });
    out.end_array().name("data_centres").begin_array();
    for (const auto& item : status.data_centres) {
        out.begin_object().field("id", item.id).field("region", item.region).field("state", item.state).end_object();
    }
    out.end_array().name("databases").begin_array();
    std::ranges::for_each(status.databases, [&](const auto& item) { write_database(out, item); });
    out.end_array().name("workspaces").begin_array();
    std::ranges::for_each(status.workspaces, [&](const auto& item) { write_workspace(out, item); });
    out.end_array().end_object();
    return out.text();
}

}  // namespace camphorstack
