#include "camphorstack/session_host/session_host.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/session_host/catalog_relay.hpp"
#include "camphorstack/session_host/catalog_updates.hpp"
#include "camphorstack/session_host/kept_links.hpp"
#include "camphorstack/session_host/position_requests.hpp"
#include "camphorstack/session_host/readiness.hpp"
#include "camphorstack/session_host/session_entry.hpp"
#include "camphorstack/session_host/session_host_state.hpp"
#include "camphorstack/session_host/share_members.hpp"
#include "camphorstack/session_host/shutdown.hpp"
#include "camphorstack/session_host/usage_duty.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

/// Tick interval while requests, runs or leader changes are in progress.
constexpr millis busy_tick_interval{20};
/// Tick interval otherwise.
constexpr millis idle_tick_interval{50};

void issue_due_catalog_calls(session_host_state& state, instant now) {
    for (auto& watch : state.catalog.watches) {
        const bool was_reachable = watch.reachable;
        for (auto& call : due_calls(watch, state.next_call, now)) {
            state.actions.emplace_back(std::move(call));
        }
        if (was_reachable && !watch.reachable) {
            log_decision(state, "store_lost", std::string("collection=") + to_string(watch.collection_id), true);
        }
    }
}

/// Logs when the host starts or stops serving.
void update_serving(session_host_state& state, instant now) {
    const bool serves = may_serve(state, now);
    if (serves == state.serving) {
        return;
    }
    state.serving = serves;
    log_decision(state, serves ? "serving_started" : "serving_stopped",
                 "document=" + std::to_string(state.catalog.content->version) + describe_document_age(state, now));
}

/// Sends a message to each peer whose link is broken, to detect when the peer can be reached again. Requests do not detect this
/// because they avoid such peers.
void probe_broken_links(session_host_state& state, instant now) {
    constexpr millis retry_interval{500};
    std::erase_if(state.broken_links, [&](const auto& item) {
        return std::ranges::find(listed_members(state), item.first, &member::id) == listed_members(state).end();
    });
    for (auto& [peer, tried] : state.broken_links) {
        if (now - tried >= retry_interval) {
            tried = now;
            send_peer(state, peer, membership_answer{});
        }
    }
}

void tick_all(session_host_state& state, instant now) {
    issue_due_catalog_calls(state, now);
    update_leader_leases(state, now);
    executor_tick(state.executor, now);
    session_entry_tick(state, now);
    coordinator_role_tick(state, now);
    probe_broken_links(state, now);
    claim_tick(state, now);
    share_members_tick(state, now);
    member_list_tick(state, now);
    closing_tick(state, now);
    leader_changes_tick(state, now);
    usage_tick(state, now);
    update_serving(state, now);
    readiness_tick(state, now);
    shutdown_tick(state, now);
    catalog_relay_tick(state, now);
    kept_links_tick(state, now);
}

/// Logs and counts replies of endpoints that were not the awaited answers.
void record_stray_answers(session_host_state& state) {
    for (const auto& stray : std::exchange(state.executor.stray_answers, {})) {
        ++state.stray_answers[stray.match];
        log_decision(state, "stray_answer",
                     "endpoint=" + log_value(stray.endpoint) + " connection=" + std::to_string(stray.connection) +
                         " match=" + to_string(stray.match) + " awaited=" + to_string(stray.awaited) + " request=" +
                         (stray.statement_id.empty() ? "-" : log_value(stray.statement_id)) + " code=" + to_string(stray.code),
                     true);
    }
}

/// Delivers the executor's results, until there are none left, and its actions.
void drain_executor(session_host_state& state, instant now) {
    record_stray_answers(state);
    count_started_operations(state);
    while (!state.executor.results.empty()) {
        for (auto& item : std::exchange(state.executor.results, {})) {
            learn_position(state, item.endpoint);
            if (item.origin != state.settings.self.id) {
                add_known_position(state, item, now);
                send_peer(state, item.origin, std::move(item.result));
            } else if (!receive_status_result(state, item.result, now)) {
                receive_run_result(state, item.result, now);
            }
        }
    }
    for (auto& action : std::exchange(state.executor.actions, {})) {
        std::visit([&state](auto& chosen) { state.actions.emplace_back(std::move(chosen)); }, action);
    }
    answer_position_requests(state, now);
}

/// Returns true if the answer is the adapter's to a decode call and not the store's.
bool is_decoded(const session_host_state& state, std::uint64_t id) {
    return std::ranges::any_of(state.catalog.watches,
                               [id](const collection_watch& watch) { return watch.decoding && watch.decoding->call == id; });
}

void receive_catalog_answer(session_host_state& state, const catalog_answer& answer, instant now) {
    if (!is_decoded(state, answer.id)) {
        ++state.store_calls.answers[answer.status];
    }
    if (!answer.problem.empty()) {
        log_decision(state, "store_answer_unreadable",
                     "call=" + std::to_string(answer.id) + " reason=" + log_quoted(answer.problem), true);
    }
    for (auto& watch : state.catalog.watches) {
        if (!owns_call(watch, answer.id)) {
            continue;
        }
        const bool was_reachable = watch.reachable;
        const auto previous_evidence = watch.evidence;
        const auto answer_time = time_since_call(watch, answer.id, now);
        const auto update = receive_answer(watch, answer, now);
        if (watch.reachable != was_reachable) {
            log_decision(state, watch.reachable ? "store_reached" : "store_lost",
                         std::string("collection=") + to_string(watch.collection_id) + " status=" + to_string(answer.status),
                         !watch.reachable);
        }
        if (watch.reachable && !was_reachable) {
            for (auto& other : state.catalog.watches) {
                retry_now(other, answer_time, now);
            }
        }
        if (update) {
            apply_collection_update(state, watch.collection_id, *update, now);
        }
        if (!is_behind(watch)) {
            watch.lacking.reset();
        }
        if (watch.collection_id == collection::fleet && watch.evidence != previous_evidence) {
            update_leader_leases(state, now);
        }
        issue_due_catalog_calls(state, now);
        if (update) {
            coordinator_role_tick(state, now);
            closing_tick(state, now);
            leader_changes_tick(state, now);
            retry_waiting(state, now);
        }
        return;
    }
    if (!receive_usage_record_answer(state, answer, now)) {
        receive_record_answer(state, answer, now);
    }
}

struct peer_visitor {
    session_host_state& state;
    const host_id& from;
    instant now;

    void operator()(const run_request& request) const { receive_run_request(this->state, this->from, request, this->now); }
    void operator()(const run_result& result) const {
        if (!receive_status_result(this->state, result, this->now)) {
            receive_run_result(this->state, result, this->now);
        }
    }
    void operator()(const transaction_left& message) const {
        end_transaction(this->state.executor, {this->from, message.transaction}, this->now);
    }
    void operator()(const membership_report& report) const {
        receive_membership_report(this->state, this->from, report, this->now);
    }
    void operator()(const membership_answer& answer) const {
        receive_membership_answer(this->state, this->from, answer, this->now);
    }
    void operator()(const leader_closed& message) const {
        receive_leader_closed(this->state, this->from, message);
        leader_changes_tick(this->state, this->now);
    }
    void operator()(const leader_update& update) const {
        adopt_leader(this->state, update.record, update.revision, this->now);
        closing_tick(this->state, this->now);
        retry_waiting(this->state, this->now);
    }
    void operator()(const usage_report& report) const { receive_usage_report(this->state, this->from, report, this->now); }
    void operator()(const usage_receipt& receipt) const { receive_usage_receipt(this->state, this->from, receipt, this->now); }
    void operator()(const coordinator_update& update) const {
        adopt_coordinator(this->state, update.record, update.revision, this->now);
    }
    void operator()(const catalog_request& request) const {
        receive_catalog_request(this->state, this->from, request, this->now);
    }
    void operator()(const catalog_reply& reply) const { receive_catalog_reply(this->state, reply, this->now); }
    void operator()(const token_request& request) const {
        // Without recent evidence this host does not know whether it still is a holder.
        const bool is_recent = may_serve(this->state, this->now);
        send_peer(this->state, this->from,
                  is_recent ? grant_tokens(this->state.shares, request, this->now) : deny_tokens(request));
    }
    void operator()(const token_grant& grant) const {
        receive_token_grant(this->state.shares, this->from, grant, this->now);
        retry_waiting(this->state, this->now);
    }
    /// Ignores the messages that only hosts with a `host_state` use, which run single requests instead of sessions.
    template <typename Body>
    void operator()(const Body& /*body*/) const {}
};

struct session_event_visitor {
    session_host_state& state;
    instant now;

    void operator()(const tick& /*event*/) const { tick_all(this->state, this->now); }
    void operator()(const settings_changed& event) const {
        auto& settings = this->state.settings;
        settings.regions = event.regions;
        settings.stop_grace = event.stop_grace;
        settings.entry.document_lifetime = event.document_lifetime;
        settings.entry.refusal_lifetime = event.refusal_lifetime;
        log_decision(this->state, "settings_taken",
                     "regions=" + std::to_string(event.regions.size()) +
                         " stop_grace_ms=" + std::to_string(event.stop_grace.count) +
                         " document_lifetime_ms=" + std::to_string(event.document_lifetime.count) +
                         " refusal_lifetime_ms=" + std::to_string(event.refusal_lifetime.count));
    }
    void operator()(const session_requested& event) const { receive_session(this->state, event, this->now); }
    void operator()(const statement_received& event) const { receive_statement(this->state, event, this->now); }
    void operator()(const caller_closed& event) const { record_closed_caller(this->state, event); }
    void operator()(const message_refused& event) const { record_refused_message(this->state, event); }
    void operator()(const session_ended& event) const { receive_session_ended(this->state, event, this->now); }
    void operator()(const endpoint_connection_opened& event) const {
        on_connection_opened(this->state.executor, event, this->now);
    }
    void operator()(const endpoint_connection_ended& event) const { on_connection_ended(this->state.executor, event, this->now); }
    void operator()(const endpoint_reply_received& event) const { on_endpoint_reply(this->state.executor, event, this->now); }
    void operator()(const catalog_answer_begun& begun) const {
        for (auto& watch : this->state.catalog.watches) {
            receive_answer_begun(watch, begun);
        }
    }
    void operator()(const catalog_answer& answer) const { receive_catalog_answer(this->state, answer, this->now); }
    void operator()(const promotion_answer& answer) const { receive_promotion_answer(this->state, answer, this->now); }
    void operator()(const usage_answer& answer) const { receive_usage_answer(this->state, answer, this->now); }
    void operator()(const wall_clock_read& event) const { receive_wall_clock(this->state, event, this->now); }
    void operator()(const peer_message& message) const {
        std::visit(peer_visitor{this->state, message.from, this->now}, message.body);
    }
    void operator()(const peer_connected& event) const {
        if (this->state.broken_links.erase(event.peer) != 0) {
            log_decision(this->state, "peer_regained", "host=" + log_value(event.peer));
            update_substitute_owners(this->state);
        }
    }
    void operator()(const peer_disconnected& event) const {
        this->mark_unreachable(event.peer);
        fail_runs_at(this->state, event.peer, this->now);
        drop_origin(this->state.executor, event.peer, this->now);
        handle_broken_link(this->state, event.peer, this->now);
    }
    void operator()(const peer_not_sent& event) const {
        if (event.cause == not_sent_cause::too_large) {
            log_decision(this->state, "message_too_large", "host=" + log_value(event.peer), true);
            this->replace_oversized_result(event);
        } else {
            this->mark_unreachable(event.peer);
        }
        if (const auto* request = std::get_if<run_request>(&event.body)) {
            fail_unsent_run(this->state, request->id, event.cause, this->now);
        } else if (const auto* tokens = std::get_if<token_request>(&event.body)) {
            fail_token_request(this->state.shares, event.peer, *tokens, this->now);
            retry_waiting(this->state, this->now);
        }
    }
    /// Tells the origin of a run whose result is too large for a link that there will be no result.
    void replace_oversized_result(const peer_not_sent& event) const {
        if (const auto* result = std::get_if<run_result>(&event.body)) {
            run_result replacement;
            replacement.id = result->id;
            replacement.outcome = run_outcome::lost;
            replacement.code = result_code::timeout;
            replacement.text = "the endpoint's answer is too large to be passed on";
            replacement.wait = result->wait;
            replacement.transaction_open = result->transaction_open;
            send_peer(this->state, event.peer, std::move(replacement));
        }
    }
    void mark_unreachable(const host_id& peer) const {
        if (this->state.broken_links.try_emplace(peer, this->now).second) {
            log_decision(this->state, "peer_lost", "host=" + log_value(peer), true);
            update_substitute_owners(this->state);
        }
    }
    void operator()(const stop_requested& /*event*/) const { begin_shutdown(this->state, this->now); }
};

}  // namespace

void session_host_state_deleter::operator()(session_host_state* state) const {
    delete state;
}

session_host_handle make_session_host(session_host_settings settings, random_source random, instant now) {
    session_host_handle host(new session_host_state);
    host->random = random;
    host->executor.settings = settings.executor;
    host->shares.self = settings.self.id;
    host->shares.settings = settings.shares;
    host->shares.next_sequence = host->random() >> 1U;
    // Starts at a random number, so that ids of an earlier process of this host are not mistaken for this process's ids.
    host->next_call = (host->random() >> 16U) + 1;
    host->coordination.next_sequence = host->next_call;
    host->coordination.settings = settings.coordination;
    host->coordination.last_answered_report = now;
    for (std::size_t i = 0; i < collection_count; ++i) {
        auto& watch = host->catalog.watches.at(i);
        watch.collection_id = static_cast<collection>(i);
        watch.settings = settings.watches.at(i);
        watch.next_list = now;
    }
    host->settings = std::move(settings);
    return host;
}

session_host_actions step(session_host_state& state, const session_host_event& event, instant now) {
    std::visit(session_event_visitor{state, now}, event);
    drain_executor(state, now);
    close_sessions_after_answers(state, now);
    for (const auto& action : state.actions) {
        const auto* call = std::get_if<catalog_call>(&action);
        if (call != nullptr && call->operation != catalog_operation::decode) {
            ++state.store_calls.calls[{call->collection_id, call->operation}];
        }
    }
    return std::exchange(state.actions, {});
}

instant next_tick(const session_host_state& state, instant now) {
    const bool busy = !state.runs.empty() || !state.waiting_sessions.empty() || count_open_work(state.executor) > 0 ||
                      !state.coordination.changes.empty();
    return now + (busy ? busy_tick_interval : idle_tick_interval);
}

}  // namespace camphorstack
