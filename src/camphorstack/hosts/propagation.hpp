#pragma once

#include <string>

#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/hosts/membership.hpp"

namespace camphorstack {

struct host_state;

/// Puts a newer document in force; an older one or one that does not parse is ignored. True if it was newer.
bool adopt_document(host_state& state, const std::string& text, document_version version, instant now, host_actions& actions);

/// Puts a newer agreed member list in force; an older one is ignored.
void adopt_members(host_state& state, const member_list& members, instant now, host_actions& actions);

/// Hands a new document version to a few random peers, so that it spreads faster than by probes alone.
void push_document(host_state& state, host_actions& actions);

/// Asks a peer for what it knows and this host does not.
void pull_if_behind(const host_state& state, const host_id& peer, known_versions theirs, host_actions& actions);

}  // namespace camphorstack
