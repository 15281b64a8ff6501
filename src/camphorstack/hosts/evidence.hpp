#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "camphorstack/hosts/peer_message.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A host serves callers only on evidence younger than this.
constexpr millis evidence_lifetime{2000};

/// Newest thing known of one watcher, with its age turned into an instant of the local clock.
struct watcher_evidence {
    document_version version = 0;
    std::uint64_t members_epoch = 0;
    bool platform_confirmed = false;
    instant observed;  ///< At the latest; delays on the way only make it earlier.

    friend bool operator==(const watcher_evidence&, const watcher_evidence&) = default;
};

struct evidence_state {
    std::map<host_id, watcher_evidence> newest;     ///< By watcher.
    std::map<document_version, instant> confirmed;  ///< When the platform last confirmed each version as its newest.
};

enum class recency : std::uint8_t { recent, no_document, no_evidence, behind };

/// Takes over entries of a probe's answer. `question_sent` is when this host sent the probe.
void merge_evidence(evidence_state& state, const std::vector<evidence_entry>& entries, instant probe_sent);

/// Records that this host, a watcher, read the platform's newest version, or that the platform did not answer.
void record_own_evidence(evidence_state& state, const host_id& self, const watcher_evidence& seen);

/// Entries to hand on with a probe's answer; only those younger than the lifetime.
[[nodiscard]] std::vector<evidence_entry> entries_to_share(const evidence_state& state, instant now);

/// Whether a host with document `version` may serve, given the watchers of its agreed member list.
[[nodiscard]] recency check_recency(const evidence_state& state, const std::vector<host_id>& watchers, document_version version,
                                    instant now);

}  // namespace camphorstack
