#include "camphorstack/session_host/catalog_updates.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/contracts/shares.hpp"
#include "camphorstack/session_host/catalog_relay.hpp"
#include "camphorstack/session_host/connection_shares.hpp"
#include "camphorstack/session_host/endpoint_owners.hpp"
#include "camphorstack/session_host/share_members.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

std::string object_key(collection collection_id, const std::string& name) {
    return std::string(to_string(collection_id)) + "/" + name;
}

/// Logs a problem of an object, unless it was the object's last one too.
void log_problem(session_host_state& state, const char* kind, collection collection_id, const catalog_item& item,
                 const std::string& reason) {
    const auto key = object_key(collection_id, item.name);
    if (std::exchange(state.logged_problems[key], reason) != reason) {
        log_decision(state, kind,
                     "object=" + log_value(key + "@" + std::to_string(item.revision)) + " reason=" + log_quoted(reason), true);
    }
}

void log_unreadable(session_host_state& state, collection collection_id, const catalog_item& item, const std::string& reason) {
    log_problem(state, "object_unreadable", collection_id, item, reason);
}

/// Logs the first of the parts of an object that were left out, and their number.
void log_incomplete(session_host_state& state, collection collection_id, const catalog_item& item) {
    log_problem(state, "object_incomplete", collection_id, item,
                item.problems.front() + " (" + std::to_string(item.problems.size()) + " left out)");
}

/// Forgets logged problems of objects that can be read again or are gone.
void forget_problems(session_host_state& state, collection collection_id, const collection_update& update) {
    std::set<std::string> kept;
    for (const auto& item : update.items) {
        const auto key = object_key(collection_id, item.name);
        // Fleet records are parsed later; `adopt_fleet_item` forgets their problems.
        const bool is_readable = item.problems.empty() && !std::holds_alternative<unreadable_item>(item.content);
        if (!is_readable || collection_id == collection::fleet) {
            kept.insert(key);
        } else {
            state.logged_problems.erase(key);
        }
    }
    for (const auto& name : update.removed) {
        state.logged_problems.erase(object_key(collection_id, name));
    }
    if (update.complete) {
        const auto prefix = object_key(collection_id, "");
        std::erase_if(state.logged_problems,
                      [&](const auto& logged) { return logged.first.starts_with(prefix) && !kept.contains(logged.first); });
    }
}

void adopt_document(session_host_state& state, const std::shared_ptr<const document>& content, instant now) {
    auto& catalog = state.catalog;
    if (content->version <= catalog.content->version) {
        return;
    }
    log_decision(state, "document_adopted",
                 "version=" + std::to_string(content->version) + " previous=" + std::to_string(catalog.content->version) +
                     describe_document_age(state, now) + " routes=" + std::to_string(content->routes.size()) +
                     " workspaces=" + std::to_string(content->workspaces.size()));
    catalog.content = content;
    catalog.workspace_by_key.clear();
    for (const auto& workspace : content->workspaces) {
        for (const auto& key : workspace.keys) {
            catalog.workspace_by_key[key.sha256] = workspace.id;
        }
    }
    catalog.route_by_database.clear();
    for (std::size_t i = 0; i < content->routes.size(); ++i) {
        catalog.route_by_database.emplace(content->routes[i].sessions.database, i);
    }
    update_rate_limits(state.shares, *content, now);
    update_endpoint_shares(state, now);
}

void adopt_members(session_host_state& state, const members_record& record, store_revision revision, instant now) {
    auto& known = state.catalog.members;
    if (known && revision <= known->revision) {
        return;
    }
    auto& intervals = state.coordination.unreachable_intervals;
    std::erase_if(intervals, [&](const auto& item) { return find_unreachable(record, item.first) == nullptr; });
    for (const auto& host : record.unreachable) {
        auto& interval = intervals[host.id];
        if (interval.number != host.interval) {
            interval = {host.interval, now};
        }
    }
    known = stored_record<members_record>{record, revision};
    std::string names;
    for (const auto& host : record.list.hosts) {
        names += (names.empty() ? "" : ",") + host.id;
    }
    log_decision(state, "members_adopted",
                 "epoch=" + std::to_string(record.list.epoch) + " hosts=" + names +
                     " unreachable=" + std::to_string(record.unreachable.size()));
    update_share_members(state, now);
    update_endpoint_shares(state, now);
}

void adopt_claim(session_host_state& state, const unreachable_claim& record, store_revision revision, instant now) {
    auto& known = state.catalog.claims[record.host];
    if (revision <= known.revision) {
        return;
    }
    known = {record, revision};
    log_decision(state, "absence_claimed", "host=" + record.host + " absence=" + std::to_string(record.interval));
    update_share_members(state, now);
    update_leader_leases(state, now);
}

void remove_fleet_item(session_host_state& state, const std::string& name) {
    if (name == coordinator_record::name) {
        state.catalog.coordinator.reset();
    } else if (name == members_record::name) {
        state.catalog.members.reset();
    } else {
        std::erase_if(state.catalog.leaders, [&](const auto& item) { return leader_object_name(item.first) == name; });
    }
}

void apply_endpoints(session_host_state& state, const collection_update& update, instant now) {
    auto& known = state.catalog.endpoints;
    endpoint_directory next = update.complete ? endpoint_directory() : known;
    for (const auto& item : update.items) {
        if (const auto* entry = std::get_if<endpoint_entry>(&item.content)) {
            next[entry->id] = *entry;
            continue;
        }
        next.erase(item.name);
        if (const auto* bad = std::get_if<unreadable_item>(&item.content)) {
            log_unreadable(state, collection::endpoints, item, bad->reason);
        }
    }
    for (const auto& name : update.removed) {
        next.erase(name);
    }
    if (next == known) {
        return;
    }
    for (const auto& [id, entry] : next) {
        const auto before = known.find(id);
        if (before == known.end() || before->second.draining != entry.draining || before->second.is_primary != entry.is_primary ||
            before->second.address != entry.address) {
            log_decision(state, "endpoint_changed",
                         "endpoint=" + log_value(id) + " database=" + log_value(entry.database) +
                             " address=" + log_value(entry.address) + " draining=" + (entry.draining ? "yes" : "no") +
                             " primary=" + (entry.is_primary ? "yes" : "no"));
        }
    }
    for (const auto& [id, entry] : known) {
        if (!next.contains(id)) {
            log_decision(state, "endpoint_removed", "endpoint=" + log_value(id) + " database=" + log_value(entry.database));
        }
    }
    known = std::move(next);
    std::erase_if(state.load_evidence_by_endpoint, [&](const auto& item) { return !known.contains(item.first); });
    std::erase_if(state.reads_sent, [&](const auto& item) { return !known.contains(item.first.first); });
    update_endpoint_shares(state, now);
}

void apply_evacuations(session_host_state& state, const collection_update& update, instant now) {
    auto& known = state.catalog.evacuated;
    auto next = update.complete ? std::set<data_centre_id>() : known;
    for (const auto& item : update.items) {
        // The object's name alone orders the evacuation; the content is ignored, even if it is unreadable.
        next.insert(item.name);
    }
    for (const auto& name : update.removed) {
        next.erase(name);
    }
    if (next != known) {
        known = std::move(next);
        std::string names;
        for (const auto& name : known) {
            names += (names.empty() ? "" : ",") + name;
        }
        log_decision(state, "evacuations_changed", "data_centres=" + log_value(names));
        update_endpoint_shares(state, now);
    }
}

int connections_of(const document& content, const database_id& id) {
    const auto* found = find_database(content, id);
    return found == nullptr ? 0 : found->connections_per_endpoint;
}

/// Returns true if the coordinator waits for this host when it changes a leader. Only such a host may use leaders.
bool is_awaited_by_coordinator(const session_host_state& state) {
    if (!state.catalog.members) {
        return false;
    }
    const auto& record = state.catalog.members->record;
    const auto& self = state.settings.self.id;
    if (std::ranges::find(record.list.hosts, self, &member::id) == record.list.hosts.end()) {
        return false;
    }
    const auto* unreachable = find_unreachable(record, self);
    const auto claim = state.catalog.claims.find(self);
    return unreachable == nullptr ||
           (claim != state.catalog.claims.end() && claim->second.record.interval == unreachable->interval);
}

/// Returns the members that are neither unreachable nor shutting down.
std::vector<member> eligible_owners(const session_host_state& state) {
    std::vector<member> hosts;
    if (state.catalog.members) {
        const auto& record = state.catalog.members->record;
        std::ranges::copy_if(record.list.hosts, std::back_inserter(hosts), [&](const member& host) {
            return find_unreachable(record, host.id) == nullptr && !std::ranges::binary_search(record.leaving, host.id);
        });
    }
    return hosts;
}

}  // namespace

void adopt_coordinator(session_host_state& state, const coordinator_record& record, store_revision revision, instant now) {
    auto& known = state.catalog.coordinator;
    if (known && revision <= known->revision) {
        return;
    }
    known = stored_record<coordinator_record>{record, revision};
    log_decision(state, "coordinator_adopted", "host=" + record.host.id + " fence=" + std::to_string(record.fence));
    // The time limit for an answer of the new coordinator starts now.
    state.coordination.last_answered_report = now;
    state.coordination.next_report = now;
    state.coordination.peers_last_heard.clear();
}

void adopt_leader(session_host_state& state, const leader_record& record, store_revision revision, instant now) {
    auto& known = state.catalog.leaders[record.database];
    if (revision <= known.revision) {
        return;
    }
    known = {record, revision};
    log_decision(state, "leader_adopted",
                 "database=" + log_value(record.database) + " endpoint=" + log_value(record.endpoint) +
                     " phase=" + (record.phase == leader_phase::serving ? "serving" : "changing") +
                     " planned=" + (record.planned ? "yes" : "no") + " round=" + std::to_string(record.round));
    update_leader_leases(state, now);
}

void adopt_fleet_item(session_host_state& state, const catalog_item& item, instant now) {
    const auto* text = std::get_if<fleet_item>(&item.content);
    if (text == nullptr) {
        return;
    }
    try {
        const auto record = parse_fleet_record(item.name, text->text);
        state.logged_problems.erase(object_key(collection::fleet, item.name));
        if (const auto* coordinator = std::get_if<coordinator_record>(&record)) {
            adopt_coordinator(state, *coordinator, item.revision, now);
        } else if (const auto* members = std::get_if<members_record>(&record)) {
            adopt_members(state, *members, item.revision, now);
        } else if (const auto* claim = std::get_if<unreachable_claim>(&record)) {
            adopt_claim(state, *claim, item.revision, now);
        } else {
            adopt_leader(state, std::get<leader_record>(record), item.revision, now);
        }
    } catch (const format_error& failure) {
        log_unreadable(state, collection::fleet, item, failure.what());
    }
}

void apply_collection_update(session_host_state& state, collection collection_id, const collection_update& update, instant now) {
    forget_problems(state, collection_id, update);
    relay_update(state, collection_id, update, now);
    switch (collection_id) {
        case collection::document:
            for (const auto& item : update.items) {
                if (!item.problems.empty()) {
                    log_incomplete(state, collection_id, item);
                }
                if (const auto* content = std::get_if<std::shared_ptr<const document>>(&item.content)) {
                    adopt_document(state, *content, now);
                } else if (const auto* bad = std::get_if<unreadable_item>(&item.content)) {
                    log_unreadable(state, collection_id, item, bad->reason);
                }
            }
            break;
        case collection::endpoints:
            apply_endpoints(state, update, now);
            break;
        case collection::evacuations:
            apply_evacuations(state, update, now);
            break;
        case collection::fleet:
            for (const auto& item : update.items) {
                adopt_fleet_item(state, item, now);
            }
            for (const auto& name : update.removed) {
                remove_fleet_item(state, name);
            }
            break;
        case collection::usage:
            break;
    }
}

void update_substitute_owners(session_host_state& state) {
    auto hosts = eligible_owners(state);
    std::erase_if(hosts, [&](const member& host) { return state.broken_links.contains(host.id); });
    state.substitute_owners = choose_endpoint_owners(state.catalog.endpoints, hosts);
}

void update_endpoint_shares(session_host_state& state, instant now) {
    const auto& settings = state.settings;
    state.owners = choose_endpoint_owners(state.catalog.endpoints, eligible_owners(state));
    update_substitute_owners(state);
    std::map<endpoint_id, endpoint_share> shares;
    for (const auto& [id, entry] : state.catalog.endpoints) {
        const auto owner = state.owners.find(id);
        const bool is_owner = owner != state.owners.end() && owner->second == settings.self.id;
        const auto all = connections_of(*state.catalog.content, entry.database);
        const endpoint_capacity capacity{all, entry.slots, settings.executor.extra_in_flight};
        const auto owned = owner_connection_limit(capacity, settings.spare_connections);
        shares[id] = {entry, is_owner ? owned : settings.direct_connections};
    }
    set_endpoints(state.executor, shares, now);
    update_leader_leases(state, now);
}

void update_leader_leases(session_host_state& state, instant now) {
    const auto& evidence = watch_of(state, collection::fleet).evidence;
    std::map<endpoint_id, leader_lease> leases;
    for (const auto& [database, stored] : state.catalog.leaders) {
        const auto& record = stored.record;
        const bool closing = record.phase == leader_phase::changing;
        if (is_endpoint_of_other(state, database, record.endpoint)) {
            continue;
        }
        if (evidence && is_awaited_by_coordinator(state) && (!closing || record.planned)) {
            // During a planned change open transactions may still finish. They belong to the round of the previous record.
            const auto round = closing ? record.round - 1 : record.round;
            leases[record.endpoint] = {round, *evidence + state.settings.coordination.leader_lease, closing};
        }
    }
    for (auto& [id, endpoint] : state.executor.endpoints) {
        const auto found = leases.find(id);
        const auto next = found == leases.end() ? std::nullopt : std::optional(found->second);
        if (endpoint.lease != next) {
            set_leader_lease(state.executor, id, next, now);
        }
    }
}

}  // namespace camphorstack
