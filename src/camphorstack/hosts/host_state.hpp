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

/// The document in force at this host.
struct known_document {
    document_store store{std::make_shared<const document>(), "", 0, 0, ""};  ///< Its content is never null: version 0 is empty.
    std::map<std::string, workspace_id> workspace_by_key;                    ///< By the key's SHA-256.
};

/// A database group at this host and the hosts that run it by this host's view.
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

/// All state of one host's decisions. Parts are changed only by the functions of the header that declares them.
struct host_state {
    host_settings settings;
    random_source random;
    membership_state membership;
    evidence_state evidence;
    share_state shares;
    known_document known;
    member_list members;
    std::vector<host_id> watchers;  ///< Of `members`.
    std::map<database_id, local_group> groups;
    std::map<connection_id, database_id> connections;  ///< Open connections and the group that each belongs to.
    std::map<request_id, pending_request> pending;
    /// Replies of this host's groups to its own callers' requests; taken at the end of the step, so that a group never
    /// changes the pending requests while they are being walked.
    std::vector<database_reply> local_replies;
    std::map<workspace_id, workspace_counts> counts;
    platform_tasks platform;
    std::vector<decision_record> recent;  ///< Newest last.
    std::vector<member> last_candidates;  ///< Owner candidates on which the groups' hosts rest.
    bool members_changed =
        true;  ///< Since the owner candidates were computed; comparing all members at each tick costs too much.
    document_version last_configured = 0;  ///< Document version on which the groups' configuration rests.
    instant configured_at;                 ///< When it was taken over.
    std::shared_ptr<const document> ownership_document =
        std::make_shared<const document>();  ///< Follows the document with a delay.
    recency serving = recency::no_document;
    std::uint64_t next_request = 1;
    bool stopping = false;
    bool stopped = false;
    instant stop_requested_at;
};

/// Adds a message for a peer to the actions.
void send_peer(const host_state& state, const host_id& peer, peer_body body, host_actions& actions);

/// Keeps a decision for `explain` and hands it to the log.
void record_decision(host_state& state, decision_record record, host_actions& actions);

/// Versions that this host shows to its peers.
[[nodiscard]] known_versions versions_of(const host_state& state);

/// Whether callers are served now: the document and the member list are both proved recent.
[[nodiscard]] recency serving_state(const host_state& state, instant now);

}  // namespace camphorstack
