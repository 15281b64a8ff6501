#include "camphorstack/hosts/propagation.hpp"

#include <algorithm>
#include <iterator>

#include "camphorstack/hosts/host_state.hpp"

namespace camphorstack {

namespace {

std::map<std::string, workspace_id> index_keys(const document& content) {
    std::map<std::string, workspace_id> result;
    for (const auto& workspace : content.workspaces) {
        for (const auto& key : workspace.keys) {
            result[key.sha256] = workspace.id;
        }
    }
    return result;
}

}  // namespace

bool adopt_document(host_state& state, const std::string& text, document_version version, instant now, host_actions& actions) {
    auto& store = state.known.store;
    const auto refused_before = store.rejected_version;
    if (!accept_document(store, text, version)) {
        if (store.rejected_version != refused_before) {
            record_decision(state, {now, "document_rejected", "version=" + std::to_string(version), store.rejection_errors},
                            actions);
        }
        return false;
    }
    state.known.workspace_by_key = index_keys(*store.content);
    update_rate_limits(state.shares, *store.content, now);
    record_decision(state, {now, "document_in_force", "document", "version=" + std::to_string(version)}, actions);
    return true;
}

void adopt_members(host_state& state, const member_list& members, instant now, host_actions& actions) {
    if (members.epoch <= state.members.epoch) {
        return;
    }
    state.members = members;
    state.watchers = choose_watchers(members);
    add_members(state.membership, members.hosts, now);
    update_share_holders(state.shares, members, now);
    record_decision(state,
                    {now, "members_in_force", "members",
                     "epoch=" + std::to_string(members.epoch) + " hosts=" + std::to_string(members.hosts.size())},
                    actions);
}

void push_document(host_state& state, host_actions& actions) {
    std::vector<member> peers;
    const auto candidates = owner_candidates(state.membership);
    std::ranges::copy_if(candidates, std::back_inserter(peers),
                         [&](const member& peer) { return peer.id != state.settings.self.id; });
    std::vector<member> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(state.settings.push_fanout), state.random);
    for (const auto& peer : chosen) {
        send_peer(state, peer.id, document_reply{state.known.store.content->version, state.known.store.text}, actions);
    }
}

void pull_if_behind(const host_state& state, const host_id& peer, known_versions theirs, host_actions& actions) {
    const auto own = versions_of(state);
    if (theirs.document > own.document) {
        send_peer(state, peer, document_request{}, actions);
    }
    if (theirs.members_epoch > own.members_epoch) {
        send_peer(state, peer, members_request{}, actions);
    }
}

}  // namespace camphorstack
