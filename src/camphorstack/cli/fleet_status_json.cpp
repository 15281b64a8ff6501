#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/json_writer.hpp"

namespace camphorstack {

namespace {

void write_host(json_writer& out, const fleet_host& host) {
    out.text("id", host.listed.subject.id);
    out.text("http_address", host.listed.subject.http_address);
    out.text("data_centre", host.listed.subject.location);
    out.text("state", host.listed.state);
    out.boolean("answered", host.status.has_value());
    if (host.status) {
        out.number("version", static_cast<std::int64_t>(host.status->version));
        out.text("serving", host.status->serving);
        out.boolean("leaving", host.status->leaving);
    } else {
        out.text("fault", host.fault);
    }
}

void write_endpoint(json_writer& out, const endpoint_status& item) {
    out.text("id", item.id);
    out.boolean("reachable", item.reachable);
    out.text("role", item.role);
    out.number("term", static_cast<std::int64_t>(item.term));
    out.begin_object("position");
    out.number("term", static_cast<std::int64_t>(item.position.term));
    out.number("index", static_cast<std::int64_t>(item.position.index));
    out.end_object();
    out.number("replication_age_ms", item.replication_age_ms);
    out.number("open_connections", item.open_connections);
}

void write_database(json_writer& out, const fleet_database& entry) {
    out.text("id", entry.status.id);
    out.text("seen_by", entry.seen_by);
    out.text("owner", entry.status.owner);
    out.text("standby", entry.status.standby);
    out.text("duty", entry.status.duty);
    out.number("in_flight", entry.status.in_flight);
    out.objects("endpoints", entry.status.endpoints, [&](const auto& item) { write_endpoint(out, item); });
}

}  // namespace

std::string format_status_json(const fleet_status& status) {
    json_writer out;
    out.objects("hosts", status.hosts, [&](const auto& item) { write_host(out, item); });
    out.objects("data_centres", status.data_centres, [&](const auto& item) {
        out.text("id", item.id);
        out.text("region", item.region);
        out.text("state", item.state);
    });
    out.objects("databases", status.databases, [&](const auto& item) { write_database(out, item); });
    out.objects("workspaces", status.workspaces, [&](const auto& item) {
        out.text("id", item.id);
        out.number("rate_per_s", item.rate_per_s);
        out.number("burst", item.burst);
        out.number("admitted", static_cast<std::int64_t>(item.admitted));
        out.counts("refused", item.refused);
    });
    return out.finish();
}

}  // namespace camphorstack
