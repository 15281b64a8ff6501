#include "camphorstack/hosts/membership.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack {

namespace {

/// Highest `local_health_multiplier`; timeouts are stretched by at most 1 + this.
constexpr int max_slowness = 2;
/// Probes of a suspected host, spread over the suspicion time; each tells the suspicion and so asks for a refutation.
constexpr int max_confirmations = 3;
/// Late answers are awaited, and probes on behalf of others kept, for this long.
constexpr millis probe_memory{2000};

millis stretched(const membership_state& state, millis timeout) {
    return timeout * (1 + state.local_health_multiplier);
}

bool is_reachable(const member_view& view) {
    return view.newest.state == member_state::alive || view.newest.state == member_state::leaving;
}

addressed_message make_probe(membership_state& state, const host_id& target, known_versions versions, instant now) {
    const auto sequence = state.next_sequence++;
    const auto known = state.others.find(target);
    open_probe opened;
    opened.target = target;
    opened.sent = now;
    opened.of_dead_host = known != state.others.end() && known->second.newest.state == member_state::dead;
    state.open_probes.emplace(sequence, opened);
    probe question{sequence, versions.document, versions.members_epoch, choose_updates(state, target)};
    const auto own = std::ranges::find(question.updates, state.self.id, [](const auto& update) { return update.subject.id; });
    if (own == question.updates.end()) {
        // Every probe names its sender, so that a host that does not know it yet or holds it dead learns of it.
        question.updates.push_back({state.self, state.leaving ? member_state::leaving : member_state::alive, state.incarnation});
    }
    return {target, std::move(question)};
}

/// Up to `relays` random hosts other than the target.
void ask_relays(membership_state& state, std::uint64_t sequence, open_probe& opened, instant now, random_source* random,
                addressed_messages& messages) {
    std::vector<host_id> candidates;
    for (const auto& [id, view] : state.others) {
        if (id != opened.target && is_reachable(view)) {
            candidates.push_back(id);
        }
    }
    if (random != nullptr) {
        std::ranges::shuffle(candidates, *random);
    } else if (!candidates.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(sequence % candidates.size());
        std::rotate(candidates.begin(), candidates.begin() + first, candidates.end());
    }
    candidates.resize(std::min(candidates.size(), state.settings.relays));
    opened.relayed = true;
    opened.relay_asked = now;
    for (const auto& id : candidates) {
        messages.push_back({id, relay_probe{opened.target, sequence}});
    }
}

void check_open_probes(membership_state& state, instant now, random_source& random, addressed_messages& messages) {
    for (auto& [sequence, opened] : state.open_probes) {
        if (opened.of_dead_host || opened.expired) {
            continue;
        }
        if (!opened.relayed && now - opened.sent >= stretched(state, state.settings.probe_timeout)) {
            ask_relays(state, sequence, opened, now, &random, messages);
        } else if (opened.relayed && now - opened.relay_asked >= stretched(state, state.settings.relay_timeout)) {
            opened.expired = true;
            const auto silence = (now - opened.sent).count;
            set_state(state, opened.target, member_state::suspect, "silent_ms=" + std::to_string(silence), now);
            state.local_health_multiplier = std::min(state.local_health_multiplier + 1, max_slowness);
        }
    }
    std::erase_if(state.open_probes, [now](const auto& entry) { return now - entry.second.sent >= probe_memory; });
    std::erase_if(state.relayed_probes, [now](const auto& entry) { return now - entry.second.sent >= probe_memory; });
}

void check_suspects(membership_state& state, known_versions versions, instant now, addressed_messages& messages) {
    const auto limit = suspicion_time(state.settings, state.others.size());
    std::vector<host_id> to_confirm;
    const auto suspects = state.suspects;  // A copy: set_state changes the set.
    for (const auto& id : suspects) {
        auto& view = state.others.at(id);
        const auto suspected_for = now - view.changed;
        if (suspected_for >= limit + view.round_trip * 2) {
            set_state(state, id, member_state::dead, "suspected_ms=" + std::to_string(suspected_for.count), now);
        } else if (view.suspicion_probes < max_confirmations &&
                   suspected_for >= limit * view.suspicion_probes / max_confirmations) {
            ++view.suspicion_probes;
            to_confirm.push_back(id);
        }
    }
    for (const auto& id : to_confirm) {
        messages.push_back(make_probe(state, id, versions, now));
    }
}

void start_round(membership_state& state, random_source& random) {
    for (const auto& [id, view] : state.others) {
        if (view.newest.state != member_state::dead) {
            state.probe_order.push_back(id);
        }
    }
    std::ranges::shuffle(state.probe_order, random);
}

void probe_next(membership_state& state, known_versions versions, instant now, random_source& random,
                addressed_messages& messages) {
    if (now < state.next_probe) {
        return;
    }
    state.next_probe = now + state.settings.probe_interval;
    if (state.probe_order.empty()) {
        start_round(state, random);
    }
    while (!state.probe_order.empty()) {
        const auto target = state.probe_order.back();
        state.probe_order.pop_back();
        const auto known = state.others.find(target);
        if (known != state.others.end() && known->second.newest.state != member_state::dead) {
            messages.push_back(make_probe(state, target, versions, now));
            return;
        }
    }
}

void probe_dead(membership_state& state, known_versions versions, instant now, random_source& random,
                addressed_messages& messages) {
    if (now < state.next_dead_probe) {
        return;
    }
    state.next_dead_probe = now + state.settings.dead_probe_interval;
    std::erase_if(state.others, [&state, now](const auto& entry) {
        return entry.second.newest.state == member_state::dead &&
               now - entry.second.changed >= state.settings.dead_host_retention;
    });
    std::vector<host_id> dead;
    for (const auto& [id, view] : state.others) {
        if (view.newest.state == member_state::dead) {
            dead.push_back(id);
        }
    }
    if (!dead.empty()) {
        messages.push_back(make_probe(state, dead[random() % dead.size()], versions, now));
    }
}

/// After a pause of this host, silence of others proves nothing: answers may wait unread.
void forgive_after_pause(membership_state& state, instant now) {
    const bool paused = now - state.last_tick > state.settings.probe_timeout;
    state.last_tick = now;
    if (!paused) {
        return;
    }
    for (auto& [sequence, opened] : state.open_probes) {
        opened.expired = true;
    }
    for (const auto& id : state.suspects) {
        restart_suspicion(state, id, now);
    }
}

}  // namespace

void add_members(membership_state& state, const std::vector<member>& hosts, instant now) {
    for (const auto& host : hosts) {
        if (host.id != state.self.id && !state.others.contains(host.id)) {
            state.others[host.id] = {{host, member_state::alive, 0}, now};
        }
    }
}

addressed_messages membership_tick(membership_state& state, known_versions versions, instant now, random_source& random) {
    forgive_after_pause(state, now);
    addressed_messages messages = std::exchange(state.outbox, {});
    check_open_probes(state, now, random, messages);
    check_suspects(state, versions, now, messages);
    probe_next(state, versions, now, random, messages);
    probe_dead(state, versions, now, random, messages);
    return messages;
}

std::optional<instant> receive_probe_answer(membership_state& state, const host_id& from, const probe_answer& answer,
                                            instant now) {
    restart_suspicion(state, from, now);
    const auto relayed = state.relayed_probes.find(answer.sequence);
    if (relayed != state.relayed_probes.end() && relayed->second.target == from) {
        state.outbox.push_back({relayed->second.origin, relay_answer{from, relayed->second.origin_sequence}});
        state.relayed_probes.erase(relayed);
    }
    const auto opened = state.open_probes.find(answer.sequence);
    if (opened == state.open_probes.end() || opened->second.target != from) {
        apply_updates(state, answer.updates, now);
        return std::nullopt;
    }
    const auto probed = opened->second;
    state.open_probes.erase(opened);
    apply_updates(state, answer.updates, now);
    state.local_health_multiplier = std::max(0, state.local_health_multiplier - 1);
    const auto known = state.others.find(from);
    if (known != state.others.end()) {
        known->second.is_confirmed_by_peers = true;
        known->second.round_trip = std::max(now - probed.sent, known->second.round_trip / 2);
        if (probed.of_dead_host && known->second.newest.state != member_state::dead) {
            state.next_dead_probe = now;  // A partition has probably healed: probe the next dead host at once.
        }
    }
    return probed.sent;
}

addressed_messages start_relayed_probe(membership_state& state, const host_id& from, const relay_probe& request,
                                       known_versions versions, instant now) {
    if (request.target == state.self.id) {
        return {{from, relay_answer{request.target, request.sequence}}};
    }
    auto message = make_probe(state, request.target, versions, now);
    const auto sequence = std::get<probe>(message.body).sequence;
    // The relay's own suspicion is left to its own rounds.
    state.open_probes.at(sequence).expired = true;
    state.relayed_probes.emplace(sequence, relayed_probe{from, request.sequence, request.target, now});
    return {message};
}

void receive_relay_answer(membership_state& state, const relay_answer& answer, instant now) {
    const auto opened = state.open_probes.find(answer.sequence);
    if (opened != state.open_probes.end() && opened->second.target == answer.target && !opened->second.expired) {
        state.open_probes.erase(opened);
    }
    restart_suspicion(state, answer.target, now);
}

addressed_messages on_link_lost(membership_state& state, const host_id& peer, known_versions versions, instant now) {
    const auto known = state.others.find(peer);
    if (known == state.others.end() || !is_reachable(known->second)) {
        return {};
    }
    addressed_messages messages{make_probe(state, peer, versions, now)};
    const auto sequence = std::get<probe>(messages.front().body).sequence;
    ask_relays(state, sequence, state.open_probes.at(sequence), now, nullptr, messages);
    return messages;
}

void announce_leaving(membership_state& state, instant now) {
    if (!state.leaving) {
        state.leaving = true;
        state.own_transmissions = 0;
        state.records.push_back({now, "host_leaving", state.self.id, "announced=self"});
    }
}

member_state state_of(const membership_state& state, const host_id& id) {
    if (id == state.self.id) {
        return state.leaving ? member_state::leaving : member_state::alive;
    }
    const auto known = state.others.find(id);
    return known == state.others.end() ? member_state::dead : known->second.newest.state;
}

std::vector<decision_record> take_records(membership_state& state) {
    return std::exchange(state.records, {});
}

}  // namespace camphorstack
