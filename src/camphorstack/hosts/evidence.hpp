#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "camphorstack/hosts/peer_message.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A host serves callers only while its evidence is not older than this.
constexpr millis evidence_lifetime{2000};

/// The newest evidence known from one watcher. The age received with it is converted to an instant of the local clock.
struct watcher_evidence {
    document_version version = 0;
    std::uint64_t members_epoch = 0;
    bool platform_confirmed = false;
    instant observed;  ///< Never later than the real observation: message delays only move it earlier.

    friend bool operator==(const watcher_evidence&, const watcher_evidence&) = default;
};

struct evidence_state {
    std::map<host_id, watcher_evidence> newest;     ///< Newest evidence by watcher.
    std::map<document_version, instant> confirmed;  ///< When a watcher last read each version as the platform's newest.
};

/// Whether a host's document is known to be recent; `behind`: a newer version has been confirmed.
enum class recency : std::uint8_t { recent, no_document, no_evidence, behind };

/// Merges the entries of a probe's answer. `probe_sent` is when this host sent the probe.
void merge_evidence(evidence_state& state, const std::vector<evidence_entry>& entries, instant probe_sent);

/// Records the observation of this host as a watcher: it read the platform's newest version, or the platform did not answer.
void record_own_evidence(evidence_state& state, const host_id& self, const watcher_evidence& seen);

/// Returns the entries to send with a probe's answer: those that are not older than `evidence_lifetime`.
[[nodiscard]] std::vector<evidence_entry> entries_to_share(const evidence_state& state, instant now);

/// Returns whether a host with document `version` may serve. `watchers` are those of its agreed member list.
[[nodiscard]] recency check_recency(const evidence_state& state, const std::vector<host_id>& watchers, document_version version,
                                    instant now);

}  // namespace camphorstack
