#include "camphorstack/hosts/host.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/hosts/groups.hpp"
#include "camphorstack/hosts/host_state.hpp"
#include "camphorstack/hosts/propagation.hpp"
#include "camphorstack/hosts/request_entry.hpp"

namespace camphorstack {

namespace {

constexpr std::size_t max_recent_decisions = 256;
constexpr millis first_members_check_delay{1000};

void send_all(const host_state& state, addressed_messages messages, host_actions& actions) {
    for (auto& message : messages) {
        send_peer(state, message.to, std::move(message.body), actions);
    }
}

void record_membership_changes(host_state& state, host_actions& actions) {
    for (auto& record : take_records(state.membership)) {
        state.members_changed = true;
        record_decision(state, std::move(record), actions);
    }
}

/// Returns true if this host may run requests of peers. An owner without proof that its document is recent must not, because
/// endpoints in that document may have been taken out of service since.
bool may_run_for_peers(const host_state& state, instant now) {
    return serving_state(state, now) == recency::recent;
}

/// Processes a message from another host.
struct peer_body_visitor {
    host_state& state;
    const host_id& from;
    instant now;
    host_actions& actions;

    void operator()(const probe& received) const {
        auto answer = answer_probe(this->state.membership, this->from, received, versions_of(this->state),
                                   entries_to_share(this->state.evidence, this->now), this->now);
        send_peer(this->state, this->from, std::move(answer), this->actions);
        pull_if_behind(this->state, this->from, {received.version, received.members_epoch}, this->actions);
    }
    void operator()(const probe_answer& answer) const {
        const auto sent = receive_probe_answer(this->state.membership, this->from, answer, this->now);
        if (sent) {
            merge_evidence(this->state.evidence, answer.evidence, *sent);
        }
        pull_if_behind(this->state, this->from, {answer.version, answer.members_epoch}, this->actions);
    }
    void operator()(const relay_probe& request) const {
        send_all(this->state,
                 start_relayed_probe(this->state.membership, this->from, request, versions_of(this->state), this->now),
                 this->actions);
    }
    void operator()(const relay_answer& answer) const { receive_relay_answer(this->state.membership, answer, this->now); }
    void operator()(const document_request& /*request*/) const {
        if (this->state.known.store.content->version > 0) {
            send_peer(this->state, this->from,
                      document_reply{this->state.known.store.content->version, this->state.known.store.text}, this->actions);
        }
    }
    void operator()(const document_reply& reply) const {
        adopt_document(this->state, reply.text, reply.version, this->now, this->actions);
    }
    void operator()(const members_request& /*request*/) const {
        send_peer(this->state, this->from, members_reply{this->state.members}, this->actions);
    }
    void operator()(const members_reply& reply) const { adopt_members(this->state, reply.members, this->now, this->actions); }
    void operator()(const forward_request& forward) const {
        if (may_run_for_peers(this->state, this->now)) {
            submit_to_group(this->state, this->from, forward.request, this->now, this->actions);
            return;
        }
        database_reply refused;
        refused.id = forward.request.id;
        refused.reason = refusal::no_recent_document;
        refused.body = "the database's owner cannot prove that its document is recent";
        send_peer(this->state, this->from, forward_reply{refused}, this->actions);
    }
    void operator()(const forward_reply& reply) const {
        receive_reply(this->state, this->from, reply.reply, this->now, this->actions);
    }
    void operator()(const loan_request& request) const {
        send_peer(this->state, this->from, grant_loan(this->state.shares, this->from, request, this->now), this->actions);
    }
    void operator()(const loan_grant& grant) const {
        receive_loan(this->state.shares, this->from, grant, this->now);
        // Requests wait for a loan for at most `loan_timeout`, so they are retried at once.
        tick_pending_requests(this->state, this->now, this->actions);
    }
    /// Ignores the messages that only session hosts use.
    template <typename Body>
    void operator()(const Body& /*body*/) const {}
};

void tick_host(host_state& state, instant now, host_actions& actions) {
    const auto serving = serving_state(state, now);
    if (serving != state.serving) {
        state.serving = serving;
        record_decision(state,
                        {now, serving == recency::recent ? "serving_started" : "serving_stopped", state.settings.self.id, ""},
                        actions);
    }
    platform_tick(state, now, actions);
    send_all(state, membership_tick(state.membership, versions_of(state), now, state.random), actions);
    tick_pending_requests(state, now, actions);
    send_loan_messages(state, now, actions);
    refresh_groups(state, now, actions);
    tick_groups(state, now, actions);
}

void begin_graceful_stop(host_state& state, instant now) {
    if (!state.stopping) {
        state.stopping = true;
        state.stop_requested_at = now;
        announce_leaving(state.membership, now);
        state.members_changed = true;
    }
}

void stop_when_drained(host_state& state, instant now, host_actions& actions) {
    const bool drained = state.pending.empty() && requests_in_groups(state) == 0;
    if (state.stopping && !state.stopped && drained && now - state.stop_requested_at >= state.settings.stop_grace) {
        state.stopped = true;
        actions.emplace_back(host_stopped{});
    }
}

struct event_visitor {
    host_state& state;
    instant now;
    host_actions& actions;

    void operator()(const tick& /*event*/) const { tick_host(this->state, this->now, this->actions); }
    void operator()(const caller_request& request) const {
        receive_caller_request(this->state, request, this->now, this->actions);
    }
    void operator()(const peer_message& message) const {
        std::visit(peer_body_visitor{this->state, message.from, this->now, this->actions}, message.body);
    }
    void operator()(const peer_connected& /*event*/) const {}
    void operator()(const peer_disconnected& event) const {
        retry_requests_of_lost_peer(this->state, event.peer, this->now, this->actions);
        send_all(this->state, on_link_lost(this->state.membership, event.peer, versions_of(this->state), this->now),
                 this->actions);
    }
    void operator()(const peer_not_sent& event) const {
        if (const auto* forward = std::get_if<forward_request>(&event.body)) {
            retry_unsent_request(this->state, event.peer, forward->request.id, this->now, this->actions);
        }
        const auto* answered = std::get_if<forward_reply>(&event.body);
        if (answered != nullptr && event.cause == not_sent_cause::too_large) {
            database_reply replacement;
            replacement.id = answered->reply.id;
            replacement.outcome = request_outcome::unknown;
            replacement.reason = refusal::connection_lost;
            replacement.body = "the result is too large to be passed on";
            replacement.served_by = answered->reply.served_by;
            send_peer(this->state, event.peer, forward_reply{std::move(replacement)}, this->actions);
        }
    }
    void operator()(const endpoint_connected& event) const {
        receive_endpoint_connected(this->state, event.connection, this->now, this->actions);
    }
    void operator()(const endpoint_closed& event) const {
        receive_endpoint_closed(this->state, event.connection, this->now, this->actions);
    }
    void operator()(const endpoint_answered& event) const {
        receive_endpoint_answer(this->state, event, this->now, this->actions);
    }
    void operator()(const platform_answer& answer) const {
        receive_platform_answer(this->state, answer, this->now, this->actions);
    }
    void operator()(const stop_requested& /*event*/) const { begin_graceful_stop(this->state, this->now); }
};

void process_local_replies(host_state& state, instant now, host_actions& actions) {
    while (!state.local_replies.empty()) {
        for (const auto& reply : std::exchange(state.local_replies, {})) {
            receive_reply(state, state.settings.self.id, reply, now, actions);
        }
    }
}

/// Returns true if recent evidence contains no newer member list than this host's: the evidence of one watcher that the platform
/// answered, or that of more than half of the watchers.
bool is_epoch_recent(const host_state& state, instant now) {
    const auto is_recent = [&](const watcher_evidence& seen) {
        return now - seen.observed <= evidence_lifetime && seen.members_epoch <= state.members.epoch;
    };
    std::size_t supporting = 0;
    for (const auto& [watcher, seen] : state.evidence.newest) {
        if (!is_recent(seen)) {
            continue;
        }
        if (seen.platform_confirmed) {
            return true;
        }
        supporting += std::ranges::binary_search(state.watchers, watcher) ? 1 : 0;
    }
    return supporting * 2 > state.watchers.size();
}

}  // namespace

void host_state_deleter::operator()(host_state* state) const {
    delete state;
}

host_handle make_host(host_settings settings, random_source random, instant now) {
    host_handle host(new host_state);
    host->random = random;
    host->membership.self = settings.self;
    host->membership.settings = settings.membership;
    host->membership.next_probe = now;
    host->shares.self = settings.self.id;
    host->shares.settings = settings.shares;
    host->shares.next_sequence = host->random() >> 1U;
    // Starts at a random number, so that answers to an earlier process of this host are not taken for answers to this process.
    host->membership.next_sequence = host->shares.next_sequence + 1;
    add_members(host->membership, settings.seeds, now);
    // Hosts that start together should know each other before the first member list is written, as each new list changes the
    // shares.
    host->platform.next_members_check = now + first_members_check_delay;
    host->settings = std::move(settings);
    return host;
}

host_actions step(host_state& state, const host_event& event, instant now) {
    host_actions actions;
    std::visit(event_visitor{state, now, actions}, event);
    process_local_replies(state, now, actions);
    record_membership_changes(state, actions);
    stop_when_drained(state, now, actions);
    return actions;
}

void send_peer(const host_state& state, const host_id& peer, peer_body body, host_actions& actions) {
    const auto found = state.membership.others.find(peer);
    if (found != state.membership.others.end()) {
        actions.emplace_back(
            send_to_peer{peer, found->second.newest.subject.address, peer_message{state.settings.self.id, std::move(body)}});
    }
}

void record_decision(host_state& state, decision_record record, host_actions& actions) {
    if (state.recent_decisions.size() >= max_recent_decisions) {
        state.recent_decisions.erase(state.recent_decisions.begin());
    }
    state.recent_decisions.push_back(record);
    actions.emplace_back(std::move(record));
}

known_versions versions_of(const host_state& state) {
    return {state.known.store.content->version, state.members.epoch};
}

recency serving_state(const host_state& state, instant now) {
    const auto result = check_recency(state.evidence, state.watchers, state.known.store.content->version, now);
    if (result == recency::recent && !is_epoch_recent(state, now)) {
        return recency::behind;
    }
    return result;
}

}  // namespace camphorstack
