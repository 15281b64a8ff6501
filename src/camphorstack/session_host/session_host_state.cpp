#include "camphorstack/session_host/session_host_state.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack {

namespace {

const member* find_member(const std::vector<member>& hosts, const host_id& id) {
    const auto found = std::ranges::find(hosts, id, &member::id);
    return found == hosts.end() ? nullptr : &*found;
}

/// Returns the address on which a host listens for its peers; empty if it is not known.
std::string peer_address(const session_host_state& state, const host_id& peer) {
    if (state.catalog.members) {
        if (const auto* found = find_member(state.catalog.members->record.list.hosts, peer); found != nullptr) {
            return found->address;
        }
    }
    if (state.catalog.coordinator && state.catalog.coordinator->record.host.id == peer) {
        return state.catalog.coordinator->record.host.address;
    }
    const auto known = state.coordination.hosts.find(peer);
    return known == state.coordination.hosts.end() ? std::string() : known->second.report.host.address;
}

}  // namespace

std::optional<millis> evidence_age(const session_host_state& state, collection collection_id, instant now) {
    const auto& evidence = watch_of(state, collection_id).evidence;
    return evidence ? std::optional(now - *evidence) : std::nullopt;
}

bool may_serve(const session_host_state& state, instant now) {
    const auto age = evidence_age(state, collection::document, now);
    return state.catalog.content->version > 0 && age && *age < state.settings.entry.document_lifetime;
}

bool may_refuse_for_good(const session_host_state& state, instant now) {
    const auto age = evidence_age(state, collection::document, now);
    return may_serve(state, now) && *age < state.settings.entry.refusal_lifetime &&
           !is_behind(watch_of(state, collection::document));
}

std::string describe_document_age(const session_host_state& state, instant now) {
    const auto& watch = watch_of(state, collection::document);
    const auto age = evidence_age(state, collection::document, now);
    return " evidence_ms=" + (age ? std::to_string(age->count) : "none") +
           " behind_ms=" + (watch.lacking ? std::to_string((now - watch.lacking->heard).count) : "0");
}

std::string region_of(const session_host_state& state, const data_centre_id& location) {
    const auto found = state.settings.regions.find(location);
    return found == state.settings.regions.end() ? std::string() : found->second;
}

const char* to_string(endpoint_distance distance) {
    switch (distance) {
        case endpoint_distance::same_data_centre:
            return "near";
        case endpoint_distance::other_data_centre:
            return "other_data_centre";
        case endpoint_distance::other_region:
            return "other_region";
    }
    return "unknown";
}

endpoint_distance distance_to(const session_host_state& state, const data_centre_id& location) {
    const auto& own = state.settings.self.location;
    if (own == location) {
        return endpoint_distance::same_data_centre;
    }
    return region_of(state, own) == region_of(state, location) ? endpoint_distance::other_data_centre
                                                               : endpoint_distance::other_region;
}

const endpoint_entry* find_endpoint_of(const session_host_state& state, const database_id& database,
                                       const endpoint_id& endpoint) {
    const auto found = state.catalog.endpoints.find(endpoint);
    const bool belongs = found != state.catalog.endpoints.end() && found->second.database == database;
    return belongs ? &found->second : nullptr;
}

bool is_endpoint_of_other(const session_host_state& state, const database_id& database, const endpoint_id& endpoint) {
    return state.catalog.endpoints.contains(endpoint) && find_endpoint_of(state, database, endpoint) == nullptr;
}

bool takes_new_work(const session_host_state& state, const endpoint_entry& endpoint) {
    return !endpoint.draining && !state.catalog.evacuated.contains(endpoint.location);
}

bool send_peer(session_host_state& state, const host_id& peer, peer_body body) {
    auto address = peer_address(state, peer);
    if (address.empty()) {
        return false;
    }
    state.actions.emplace_back(send_to_peer{peer, std::move(address), peer_message{state.settings.self.id, std::move(body)}});
    return true;
}

void log_decision(session_host_state& state, const char* kind, std::string text, bool is_failure) {
    state.actions.emplace_back(decision_line{kind, std::move(text), is_failure});
}

void start_run(session_host_state& state, const host_id& host, run_request request, instant now) {
    if (host == state.settings.self.id) {
        submit_run(state.executor, host, std::move(request), now);
        return;
    }
    run_result unsent;
    unsent.id = request.id;
    unsent.outcome = run_outcome::not_run;
    unsent.code = result_code::busy;
    unsent.text = "the address of the endpoint's owner is not known";
    if (!send_peer(state, host, std::move(request))) {
        state.executor.results.push_back({state.settings.self.id, std::move(unsent), ""});
    }
}

std::optional<run_request> make_administrative_run(session_host_state& state, const database_id& database,
                                                   const endpoint_id& endpoint, run_kind kind, millis timeout) {
    const auto& workspaces = state.catalog.content->workspaces;
    if (workspaces.empty()) {
        return std::nullopt;
    }
    run_request request;
    request.id = state.next_call++;
    request.endpoint = endpoint;
    request.database = database;
    request.workspace = workspaces.front().id;
    request.kind = kind;
    request.statement_timeout = timeout;
    request.queue_timeout = timeout;
    return request;
}

host_id executor_host(const session_host_state& state, const endpoint_id& endpoint) {
    const auto find = [&](const std::map<endpoint_id, host_id>& hosts) {
        const auto found = hosts.find(endpoint);
        return found == hosts.end() ? state.settings.self.id : found->second;
    };
    const auto owner = find(state.owners);
    return state.broken_links.contains(owner) ? find(state.substitute_owners) : owner;
}

}  // namespace camphorstack
