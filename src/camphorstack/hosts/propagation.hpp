#pragma once

#include <string>

#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/hosts/membership.hpp"

namespace camphorstack {

struct host_state;

/// Puts a newer document in force and returns true. A document that is not newer or does not parse is ignored.
bool adopt_document(host_state& state, const std::string& text, document_version version, instant now, host_actions& actions);

/// Puts a newer agreed member list in force; a list that is not newer is ignored.
void adopt_members(host_state& state, const member_list& members, instant now, host_actions& actions);

/// Sends the document to `push_fanout` random peers, so that a new version spreads faster than by probes alone.
void push_document(host_state& state, host_actions& actions);

/// Requests the document and the member list from a peer if the peer's versions are newer than this host's.
void pull_if_behind(const host_state& state, const host_id& peer, known_versions theirs, host_actions& actions);

}  // namespace camphorstack
