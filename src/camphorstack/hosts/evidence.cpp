#include "camphorstack/hosts/evidence.hpp"

#include <algorithm>
#include <iterator>

namespace camphorstack {

namespace {

void merge_entry(evidence_state& state, const host_id& watcher, const watcher_evidence& seen) {
    auto& known = state.newest[watcher];
    const bool newer = seen.observed > known.observed || (seen.observed == known.observed && seen.version > known.version);
    if (known == watcher_evidence{} || newer) {
        known = seen;
    }
    if (seen.platform_confirmed) {
        const auto [entry, added] = state.confirmed.try_emplace(seen.version, seen.observed);
        entry->second = std::max(entry->second, seen.observed);
    }
}

bool is_fresh(instant observed, instant now) {
    return now - observed <= evidence_lifetime;
}

/// Removes the evidence that is past its lifetime at `now`.
void remove_expired(evidence_state& state, instant now) {
    std::erase_if(state.newest, [now](const auto& entry) { return !is_fresh(entry.second.observed, now); });
    std::erase_if(state.confirmed, [now](const auto& entry) { return !is_fresh(entry.second, now); });
}

/// Number of watchers that reported the platform as unreachable, and the highest version known to one of them.
struct outage_reports {
    std::size_t count = 0;
    document_version highest = 0;
};

outage_reports count_outage_reports(const evidence_state& state, const std::vector<host_id>& watchers, instant now) {
    outage_reports result;
    for (const auto& watcher : watchers) {
        const auto found = state.newest.find(watcher);
        if (found != state.newest.end() && !found->second.platform_confirmed && is_fresh(found->second.observed, now)) {
            ++result.count;
            result.highest = std::max(result.highest, found->second.version);
        }
    }
    return result;
}

}  // namespace

void merge_evidence(evidence_state& state, const std::vector<evidence_entry>& entries, instant probe_sent) {
    // The answer was sent after the probe, so subtracting the age from the send time of the probe never underestimates the age.
    for (const auto& entry : entries) {
        const millis age = std::max(entry.age, millis{0});
        merge_entry(state, entry.watcher, {entry.version, entry.members_epoch, entry.platform_confirmed, probe_sent - age});
    }
    remove_expired(state, probe_sent);
}

void record_own_evidence(evidence_state& state, const host_id& self, const watcher_evidence& seen) {
    merge_entry(state, self, seen);
    remove_expired(state, seen.observed);
}

std::vector<evidence_entry> entries_to_share(const evidence_state& state, instant now) {
    std::vector<evidence_entry> result;
    for (const auto& [watcher, seen] : state.newest) {
        if (is_fresh(seen.observed, now)) {
            result.push_back({watcher, seen.version, seen.members_epoch, seen.platform_confirmed, now - seen.observed});
        }
    }
    return result;
}

recency check_recency(const evidence_state& state, const std::vector<host_id>& watchers, document_version version, instant now) {
    if (version == 0) {
        return recency::no_document;
    }
    bool newer_confirmed = false;
    for (const auto& [confirmed, observed] : state.confirmed) {
        if (is_fresh(observed, now)) {
            if (confirmed <= version) {
                return recency::recent;
            }
            newer_confirmed = true;
        }
    }
    if (newer_confirmed) {
        return recency::behind;
    }
    const auto reports = count_outage_reports(state, watchers, now);
    if (watchers.empty() || 2 * reports.count <= watchers.size()) {
        return recency::no_evidence;
    }
    return reports.highest <= version ? recency::recent : recency::behind;
}

}  // namespace camphorstack
