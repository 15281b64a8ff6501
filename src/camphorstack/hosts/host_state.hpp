#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/contracts/shares.hpp"
#include "camphorstack/document/document.hpp"
#include "camphorstack/document/document_store.hpp"
#include "camphorstack/endpoints/group.hpp"
#include "camphorstack/hosts/evidence.hpp"
#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/hosts/host_settings.hpp"
#include "camphorstack/hosts/membership.hpp"
#include "camphorstack/hosts/owners.hpp"
#include "camphorstack/hosts/pending_request.hpp"
#include "camphorstack/hosts/platform_tasks.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

/// The document in force at this host, and an index of its API keys.
struct known_document {
    /// Its content is never null: version 0 is an empty document.
    document_store store{std::make_shared<const document>(), "", 0, 0, ""};
    std::map<std::string, workspace_id> workspace_by_key;  ///< By the SHA-256 of the API key.
};

/// A database's group at this host, and the hosts that run the group in this host's view.
struct local_group {
    group_hosts hosts;
    group_duty duty = group_duty::none;
    group_state group;
};

/// Admissions and refusals of one workspace since the host started.
struct workspace_counts {
    std::uint64_t admitted = 0;
    std::map<refusal, std::uint64_t> refused;
};

/// State of one host's decision logic. Each part is changed only by the functions of the header that declares it.
struct host_state {
    host_settings settings;
    random_source random;
    membership_state membership;
    evidence_state evidence;
    share_state shares;
    known_document known;
    member_list members;
    std::vector<host_id> watchers;  ///< Watchers chosen from `members`.
    std::map<database_id, local_group> groups;
    std::map<connection_id, database_id> connections;  ///< Open connections and the group that each belongs to.
    std::map<request_id, pending_request> pending;
    /// Replies of this host's groups to its own callers' requests. They are processed at the end of the step, so that a group
    /// never changes `pending` while it is being iterated.
    std::vector<database_reply> local_replies;
    std::map<workspace_id, workspace_counts> counts;
    platform_tasks platform;
    std::vector<decision_record> recent_decisions;  ///< Newest last.
    std::vector<member> last_candidates;            ///< Candidates from which the groups' owners and standbys were last chosen.
    /// True if membership has changed since the candidates were computed. Comparing all members at each tick would be too slow.
    bool members_changed = true;
    document_version last_configured = 0;  ///< Version of the document by which the groups were last configured.
    instant configured_at;                 ///< When the groups were last configured.
    /// Document by which owners are chosen. It follows the document in force with a delay.
    std::shared_ptr<const document> ownership_document = std::make_shared<const document>();
    recency serving = recency::no_document;
    std::uint64_t next_request = 1;
    bool stopping = false;
    bool stopped = false;
    instant stop_requested_at;
};

/// Adds the sending of a message to the actions; does nothing if the peer is unknown.
void send_peer(const host_state& state, const host_id& peer, peer_body body, host_actions& actions);

/// Keeps a decision for the `explain` command and adds it to the actions, to be logged.
void record_decision(host_state& state, decision_record record, host_actions& actions);

/// Returns the versions that this host reports to its peers.
[[nodiscard]] known_versions versions_of(const host_state& state);

/// Returns `recent`, and callers are served, if evidence shows that both the document and the member list are recent.
[[nodiscard]] recency serving_state(const host_state& state, instant now);

}  // namespace camphorstack
