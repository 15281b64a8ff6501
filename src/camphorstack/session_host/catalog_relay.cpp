#include "camphorstack/session_host/catalog_relay.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/coordination/coordinator.hpp"

namespace camphorstack {

namespace {

/// Time limit for the answer of another host; then the store is asked. Covers the steps from the coordinator.
constexpr millis reply_timeout{600};
/// Requests for a change that this host does not receive are dropped after this time; the sender has asked the store by then.
constexpr millis kept_request_lifetime{800};
/// Changes with more text are read from the store. `catalog_relay_fanout` copies of this size leave a host within
/// `reply_timeout`, also over the slowest links that hosts have (10 Mbit/s).
constexpr std::size_t max_relayed_bytes = 90'000;

bool is_reachable(const session_host_state& state, const host_id& id) {
    return !id.empty() && !state.broken_links.contains(id) &&
           (!state.catalog.members || find_unreachable(state.catalog.members->record, id) == nullptr);
}

/// Returns false if this host does not have the wanted change yet. If the changes cannot be passed on, the answer has none of
/// them, and the receiver asks the store.
bool answer_request(session_host_state& state, const host_id& from, const catalog_request& request, instant now) {
    const auto& watch = watch_of(state, request.collection_id);
    const auto age = evidence_age(state, request.collection_id, now);
    if (!watch.listed || !age || watch.last_change < request.wanted) {
        return false;
    }
    auto changes =
        changes_after(state.relayed.at(static_cast<std::size_t>(request.collection_id)), request.known, max_relayed_bytes);
    catalog_reply reply{request.sequence, request.collection_id, {}, 0, 0, *age};
    if (changes) {
        ++state.relayed_answers;
        reply.changes = std::move(*changes);
        reply.revision = watch.revision;
        reply.last_change = watch.last_change;
    }
    send_peer(state, from, std::move(reply));
    return true;
}

}  // namespace

host_id relay_parent(const session_host_state& state) {
    if (!state.catalog.coordinator) {
        return {};
    }
    const auto& coordinator = state.catalog.coordinator->record.host.id;
    const auto& self = state.settings.self.id;
    if (coordinator == self) {
        return {};
    }
    // The members of each data centre, in the order of their ids and without the coordinator, form a tree whose root asks the
    // coordinator. So a change crosses each link between data centres once.
    std::vector<host_id> order;
    std::size_t position = 0;
    for (const auto& host : listed_members(state)) {
        if (host.id == coordinator || host.location != state.settings.self.location) {
            continue;
        }
        if (host.id == self) {
            position = order.size();
        }
        order.push_back(host.id);
    }
    while (position > 0) {
        position = (position - 1) / catalog_relay_fanout;
        if (is_reachable(state, order[position])) {
            return order[position];
        }
    }
    return is_reachable(state, coordinator) ? coordinator : host_id{};
}

bool request_change(session_host_state& state, collection collection_id, store_revision wanted, const host_id& informant,
                    instant now) {
    auto& watch = watch_of(state, collection_id);
    if (watch.requested || watch.decoding) {
        return true;
    }
    // The informant has the change. Usually it is the coordinator, which must not send every change to all hosts.
    const bool asks_informant = is_coordinator_silent(state, now) || (watch.relay_failed && !informant.empty());
    const auto parent = asks_informant ? informant : relay_parent(state);
    if (!watch.listed || parent.empty()) {
        return false;
    }
    const catalog_request request{state.next_call++, collection_id, watch.revision, wanted};
    if (!send_peer(state, parent, request)) {
        return false;
    }
    watch.requested = pending_catalog_request{request.sequence, watch.revision, wanted, now};
    return true;
}

void receive_catalog_request(session_host_state& state, const host_id& from, const catalog_request& request, instant now) {
    if (answer_request(state, from, request, now)) {
        return;
    }
    std::erase_if(state.kept_requests, [&](const kept_catalog_request& kept) {
        return kept.from == from && kept.request.collection_id == request.collection_id;
    });
    state.kept_requests.push_back({from, request, now});
    // The sender has heard of the change earlier than this host.
    if (!holds_coordinator_role(state)) {
        request_change(state, request.collection_id, request.wanted, {}, now);
    }
}

void receive_catalog_reply(session_host_state& state, const catalog_reply& reply, instant now) {
    auto& watch = watch_of(state, reply.collection_id);
    if (!watch.requested || watch.requested->sequence != reply.sequence) {
        return;
    }
    const auto request = *watch.requested;
    watch.requested.reset();
    watch.relay_failed = false;
    if (reply.last_change < request.wanted) {
        log_decision(state, "change_not_relayed", std::string("collection=") + to_string(reply.collection_id));
        want_list(watch, now);
        return;
    }
    relayed_changes changes;
    changes.known = request.known;
    changes.call = state.next_call++;
    changes.update = {reply.changes.complete, {}, reply.changes.removed};
    changes.revision = reply.revision;
    changes.last_change = reply.last_change;
    changes.evidence = request.sent - reply.age;
    watch.decoding = std::move(changes);
    catalog_call call;
    call.id = watch.decoding->call;
    call.collection_id = reply.collection_id;
    call.operation = catalog_operation::decode;
    for (const auto& item : reply.changes.items) {
        call.sources.push_back(item.text);
    }
    state.actions.emplace_back(std::move(call));
}

void relay_update(session_host_state& state, collection collection_id, const collection_update& update, instant now) {
    record_update(state.relayed.at(static_cast<std::size_t>(collection_id)), update, watch_of(state, collection_id).revision);
    std::erase_if(state.kept_requests, [&](const kept_catalog_request& kept) {
        return kept.request.collection_id == collection_id && answer_request(state, kept.from, kept.request, now);
    });
}

void catalog_relay_tick(session_host_state& state, instant now) {
    for (auto& watch : state.catalog.watches) {
        if (watch.requested && now - watch.requested->sent >= reply_timeout) {
            watch.requested.reset();
            watch.relay_failed = true;
            log_decision(
                state, "change_not_relayed",
                std::string("collection=") + to_string(watch.collection_id) + " waited_ms=" + std::to_string(reply_timeout.count),
                true);
            want_list(watch, now);
        }
    }
    std::erase_if(state.kept_requests,
                  [now](const kept_catalog_request& kept) { return now - kept.received >= kept_request_lifetime; });
}

}  // namespace camphorstack
