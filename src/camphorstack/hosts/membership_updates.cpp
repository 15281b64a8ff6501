#include <algorithm>
#include <bit>
#include <tuple>

#include "camphorstack/hosts/membership.hpp"

namespace camphorstack {

namespace {

/// Most updates in one answer to a host that has joined or returned. Fleets up to this size fit into one answer; in larger ones
/// the host also learns of others from the platform's list.
constexpr std::size_t max_join_updates = 64;

bool overrides(const member_update& later, const member_update& earlier) {
    return std::tie(later.incarnation, later.state) > std::tie(earlier.incarnation, earlier.state);
}

bool is_same_state(const member_update& a, const member_update& b) {
    return a.incarnation == b.incarnation && a.state == b.state;
}

member_update own_update(const membership_state& state) {
    return {state.self, state.leaving ? member_state::leaving : member_state::alive, state.incarnation};
}

/// Handles an update about this host itself. Peers may still have the state of an earlier process of this host, or suspect it; a
/// higher incarnation overrides both.
void refute(membership_state& state, const member_update& received) {
    const auto own = own_update(state);
    if (received.incarnation < own.incarnation || received == own) {
        return;
    }
    const bool is_overridden_by_own =
        received.incarnation == own.incarnation && received.subject == own.subject && received.state < own.state;
    if (!is_overridden_by_own) {
        state.incarnation = received.incarnation + 1;
    }
    state.own_transmissions = 0;
}

void record_change(membership_state& state, const host_id& id, member_state changed, const std::string& observations,
                   instant now) {
    const auto kind = [changed]() -> std::string {
        switch (changed) {
            case member_state::leaving:
                return "host_leaving";
            case member_state::suspect:
                return "host_suspected";
            case member_state::dead:
                return "host_dead";
            default:
                return "host_alive";
        }
    }();
    state.records.push_back({now, kind, id, observations});
}

/// Updates `suspects` and `pending_updates` after a view has changed.
void update_indexes(membership_state& state, const host_id& id, const member_view& view) {
    state.pending_updates.insert(id);
    if (view.newest.state == member_state::suspect) {
        state.suspects.insert(id);
    } else {
        state.suspects.erase(id);
    }
}

void replace_update(membership_state& state, member_view& view, const member_update& update, instant now) {
    const bool state_changed = view.newest.state != update.state;
    if (state_changed || view.newest.state == member_state::suspect) {
        view.changed = now;
        view.suspicion_probes = 0;
    }
    if (update.state == member_state::leaving || update.state == member_state::alive) {
        view.has_left = update.state == member_state::leaving;
    }
    view.newest = update;
    view.transmissions = 0;
    view.is_confirmed_by_peers = true;
    update_indexes(state, update.subject.id, view);
    if (state_changed) {
        record_change(state, update.subject.id, update.state, "incarnation=" + std::to_string(update.incarnation), now);
    }
}

void apply_update(membership_state& state, const member_update& update, instant now) {
    const auto& id = update.subject.id;
    if (id == state.self.id) {
        refute(state, update);
        return;
    }
    const auto known = state.others.find(id);
    if (known == state.others.end()) {
        if (update.state != member_state::dead) {
            member_view added;
            added.newest = update;
            added.changed = now;
            added.is_confirmed_by_peers = true;
            added.has_left = update.state == member_state::leaving;
            update_indexes(state, id, state.others.emplace(id, added).first->second);
            record_change(state, id, update.state, "learned_from=update", now);
        }
        return;
    }
    if (overrides(update, known->second.newest)) {
        replace_update(state, known->second, update, now);
    } else if (update == known->second.newest) {
        known->second.is_confirmed_by_peers = true;
    } else if (!known->second.is_confirmed_by_peers && is_same_state(update, known->second.newest)) {
        // The settings or the platform's list may describe a host wrongly. The description sent by the host itself replaces
        // theirs; otherwise hosts would permanently choose different owners.
        replace_update(state, known->second, update, now);
        record_change(state, id, update.state, "described_by=" + id, now);
    }
}

}  // namespace

int transmission_limit(std::size_t known_hosts) {
    constexpr int factor = 3;
    return factor * (1 + static_cast<int>(std::bit_width(known_hosts)));
}

millis suspicion_time(const membership_settings& settings, std::size_t known_hosts) {
    constexpr std::size_t small_fleet = 16;
    const auto doublings = static_cast<std::int64_t>(std::bit_width(std::max(known_hosts, small_fleet) / small_fleet)) - 1;
    return settings.suspicion_time * (1 + doublings);
}

void apply_updates(membership_state& state, const std::vector<member_update>& updates, instant now) {
    for (const auto& update : updates) {
        apply_update(state, update, now);
    }
}

std::vector<member_update> choose_updates(membership_state& state, const host_id& to) {
    const auto limit = transmission_limit(state.others.size());
    std::vector<std::pair<int, member_view*>> pending;
    std::vector<member_update> result;
    const auto receiver = state.others.find(to);
    if (receiver != state.others.end() && receiver->second.newest.state != member_state::alive) {
        // A receiver that is regarded as not alive gets the update about itself with every message, so that it can refute the
        // update.
        result.push_back(receiver->second.newest);
    }
    std::erase_if(state.pending_updates, [&state, limit](const host_id& id) {
        const auto known = state.others.find(id);
        return known == state.others.end() || known->second.transmissions >= limit;
    });
    for (const auto& id : state.pending_updates) {
        if (id != to) {
            auto& view = state.others.at(id);
            pending.emplace_back(view.transmissions, &view);
        }
    }
    if (state.own_transmissions < limit) {
        ++state.own_transmissions;
        result.push_back(own_update(state));
    }
    const auto room = state.settings.max_updates - std::min(state.settings.max_updates, result.size());
    const auto chosen = std::min(room, pending.size());
    std::ranges::partial_sort(pending, pending.begin() + static_cast<std::ptrdiff_t>(chosen), {},
                              [](const auto& entry) { return entry.first; });
    for (std::size_t i = 0; i < chosen; ++i) {
        auto* view = pending[i].second;
        ++view->transmissions;
        result.push_back(view->newest);
    }
    return result;
}

void set_state(membership_state& state, const host_id& id, member_state changed, const std::string& observations, instant now) {
    const auto found = state.others.find(id);
    if (found == state.others.end() || found->second.newest.state >= changed) {
        return;
    }
    auto& view = found->second;
    view.newest.state = changed;
    view.changed = now;
    view.transmissions = 0;
    view.suspicion_probes = 0;
    update_indexes(state, id, view);
    record_change(state, id, changed, observations, now);
}

void restart_suspicion(membership_state& state, const host_id& id, instant now) {
    const auto known = state.others.find(id);
    if (known != state.others.end() && known->second.newest.state == member_state::suspect) {
        known->second.changed = now;
        // Delays the next probe of the suspicion; otherwise each answer would cause several more probes.
        known->second.suspicion_probes = 1;
    }
}

probe_answer answer_probe(membership_state& state, const host_id& from, const probe& received, known_versions versions,
                          std::vector<evidence_entry> evidence, instant now) {
    const auto before = state.others.find(from);
    const auto known_before = before == state.others.end() ? member_update{} : before->second.newest;
    restart_suspicion(state, from, now);
    apply_updates(state, received.updates, now);
    // A host that has just joined or come back may know few other hosts.
    const bool is_new_or_changed = state.others.contains(from) && state.others.at(from).newest != known_before;
    probe_answer answer{received.sequence, versions.document, versions.members_epoch, {}, std::move(evidence)};
    answer.updates = choose_updates(state, from);
    const auto about_self =
        std::ranges::find(received.updates, state.self.id, [](const auto& update) { return update.subject.id; });
    const auto own = own_update(state);
    // A sender with a different view of this host gets the refutation regardless of how often it was piggybacked before.
    if (about_self != received.updates.end() && *about_self != own &&
        std::ranges::find(answer.updates, own) == answer.updates.end()) {
        answer.updates.push_back(own);
    }
    const auto known = state.others.find(from);
    const auto claimed = std::ranges::find(received.updates, from, [](const auto& update) { return update.subject.id; });
    // A restarted host raises its incarnation if the update in the answer differs from its own.
    if (known != state.others.end() && claimed != received.updates.end() && known->second.newest != *claimed &&
        std::ranges::find(answer.updates, known->second.newest) == answer.updates.end()) {
        answer.updates.push_back(known->second.newest);
    }
    if (is_new_or_changed) {
        auto next = state.others.upper_bound(from);
        for (std::size_t i = 0; i < state.others.size() && answer.updates.size() < max_join_updates; ++i, ++next) {
            if (next == state.others.end()) {
                next = state.others.begin();
            }
            if (next->first != from && next->second.is_confirmed_by_peers && next->second.newest.state != member_state::dead) {
                answer.updates.push_back(next->second.newest);
            }
        }
        answer.updates.push_back(own_update(state));
    }
    return answer;
}

}  // namespace camphorstack
