#include "camphorstack/links/report_json.hpp"

#include "camphorstack/support/json.hpp"

namespace camphorstack {

namespace {

const char* to_text(member_state state) {
    switch (state) {
        case member_state::alive:
            return "alive";
        case member_state::leaving:
            return "leaving";
        case member_state::suspect:
            return "suspect";
        case member_state::dead:
            return "dead";
    }
    return "dead";
}

const char* to_text(recency serving) {
    switch (serving) {
        case recency::recent:
            return "recent";
        case recency::no_document:
            return "no_document";
        case recency::no_evidence:
            return "no_evidence";
        case recency::behind:
            return "behind";
    }
    return "no_evidence";
}

const char* to_text(group_duty duty) {
    switch (duty) {
        case group_duty::none:
            return "none";
        case group_duty::standby:
            return "standby";
        case group_duty::owner:
            return "owner";
    }
    return "none";
}

std::uint64_t number(std::size_t count) {
    return static_cast<std::uint64_t>(count);
}

void write_member(json_writer& out, const member_report& host) {
    out.begin_object().field("id", host.subject.id).field("address", host.subject.address);
    out.field("http_address", host.subject.http_address).field("data_centre", host.subject.location);
    out.field("state", to_text(host.state)).end_object();
}

void write_endpoint(json_writer& out, const endpoint_view& view) {
    out.begin_object().field("id", view.id).field("reachable", view.reachable);
    out.field("role", view.role == endpoint_role::primary ? "primary" : "replica").field("term", view.term);
    out.field("position_term", view.position.term).field("position_index", view.position.index);
    out.field("replication_age_ms", view.replication_age.count).field("connections", number(view.open_connections)).end_object();
}

void write_database(json_writer& out, const database_report& database) {
    out.begin_object().field("id", database.id).field("owner", database.owner).field("standby", database.standby);
    out.field("duty", to_text(database.duty)).field("in_flight", number(database.in_flight)).name("endpoints").begin_array();
    for (const auto& view : database.endpoints) {
        write_endpoint(out, view);
    }
    out.end_array().end_object();
}

void write_refusals(json_writer& out, const workspace_report& workspace) {
    out.name("refused").begin_object();
    for (const auto& [reason, count] : workspace.refused) {
        out.field(reason.c_str(), count);
    }
    out.end_object();
}

void write_workspace(json_writer& out, const workspace_report& workspace) {
    out.begin_object().field("id", workspace.id).field("rate_per_s", workspace.rate_per_s).field("burst", workspace.burst);
    out.field("admitted", workspace.admitted);
    write_refusals(out, workspace);
    out.end_object();
}

std::map<std::string, std::uint64_t> sum_refusals(const host_report& report) {
    std::map<std::string, std::uint64_t> sum;
    for (const auto& workspace : report.workspaces) {
        for (const auto& [reason, count] : workspace.refused) {
            sum[reason] += count;
        }
    }
    return sum;
}

}  // namespace

std::string format_status(const host_report& report) {
    json_writer out;
    out.begin_object().field("id", report.id).field("data_centre", report.location).field("version", report.version);
    out.field("members_epoch", report.members_epoch).field("serving", to_text(report.serving)).field("leaving", report.leaving);
    out.name("hosts").begin_array();
    for (const auto& host : report.hosts) {
        write_member(out, host);
    }
    out.end_array().name("data_centres").begin_array();
    for (const auto& centre : report.data_centres) {
        out.begin_object().field("id", centre.id).field("region", centre.region);
        out.field("state", centre.state == admin_state::in ? "in" : "out").end_object();
    }
    out.end_array().name("databases").begin_array();
    for (const auto& database : report.databases) {
        write_database(out, database);
    }
    out.end_array().name("workspaces").begin_array();
    for (const auto& workspace : report.workspaces) {
        write_workspace(out, workspace);
    }
    out.end_array().end_object();
    return out.text();
}

std::string format_explanation(const host_report& report) {
    json_writer out;
    out.begin_object().field("id", report.id).field("version", report.version).field("serving", to_text(report.serving));
    out.name("decisions").begin_array();
    for (const auto& decision : report.decisions) {
        out.begin_object()
            .field("at_ms", decision.at.since_start)
            .field("age_ms", (report.reported_at - decision.at).count)
            .field("kind", decision.kind);
        out.field("subject", decision.subject).field("observations", decision.observations).end_object();
    }
    out.end_array().name("refused").begin_object();
    for (const auto& [reason, count] : sum_refusals(report)) {
        out.field(reason.c_str(), count);
    }
    out.end_object().name("workspaces").begin_array();
    for (const auto& workspace : report.workspaces) {
        out.begin_object().field("id", workspace.id).field("admitted", workspace.admitted);
        write_refusals(out, workspace);
        out.end_object();
    }
    out.end_array().end_object();
    return out.text();
}

}  // namespace camphorstack
