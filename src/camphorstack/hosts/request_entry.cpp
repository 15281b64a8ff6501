#include "camphorstack/hosts/request_entry.hpp"

#include <algorithm>
#include <optional>

#include "camphorstack/hosts/admission.hpp"
#include "camphorstack/hosts/groups.hpp"
#include "camphorstack/hosts/host_state.hpp"

namespace camphorstack {

namespace {

// The owner's deadline is this much earlier than the caller's, so that its reply reaches the entry host in time.
constexpr millis reply_margin{30};

caller_reply make_refusal(std::uint64_t request_number, const refused_request& refused) {
    return {request_number, request_outcome::not_run, refused.reason, refused.text, "", "", "", refused.workspace};
}

void count_refusal(host_state& state, const workspace_id& workspace, refusal reason) {
    if (!workspace.empty()) {
        ++state.counts[workspace].refused[reason];
    }
}

void answer_caller(host_state& state, const pending_request& pending, request_outcome outcome, refusal reason,
                   const std::string& text, host_actions& actions) {
    if (outcome != request_outcome::done) {
        count_refusal(state, pending.workspace, reason);
    }
    actions.emplace_back(caller_reply{pending.request_number, outcome, reason, text, "", "", "", pending.workspace});
}

/// Returns true if running the request twice has the same effect as running it once.
bool is_retryable(const database_request& request) {
    return request.kind == request_kind::read || request.kind == request_kind::begin ||
           (request.kind == request_kind::write && (request.idempotent || !request.idempotency_key.empty()));
}

/// Returns the next host to send the request to: the host of its transaction, else the owner and then the standby, each once.
std::optional<host_id> next_target(const host_state& state, const pending_request& pending) {
    const auto untried = [&](const host_id& id) {
        return !id.empty() && !pending.targets.contains(id) && !pending.tried_hosts.contains(id);
    };
    if (!pending.transaction_host.empty()) {
        return untried(pending.transaction_host) ? std::optional(pending.transaction_host) : std::nullopt;
    }
    const auto found = state.groups.find(pending.request.database);
    if (found == state.groups.end()) {
        return std::nullopt;
    }
    for (const auto& candidate : {found->second.hosts.owner, found->second.hosts.standby}) {
        if (untried(candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
}

/// Sends a copy of the request to one host. A reply from this host's own group is processed at the end of the step.
void send_request(host_state& state, pending_request& pending, const host_id& target, instant now, host_actions& actions) {
    pending.stage = pending_stage::awaiting_reply;
    pending.sent = now;
    pending.targets.insert(target);
    auto request = pending.request;
    request.time_left = std::max(pending.deadline - now - reply_margin, millis{0});
    if (target == state.settings.self.id) {
        submit_to_group(state, target, request, now, actions);
    } else {
        send_peer(state, target, forward_request{std::move(request)}, actions);
    }
}

void finish(host_state& state, std::map<request_id, pending_request>::iterator entry, request_outcome outcome, refusal reason,
            const std::string& text, host_actions& actions) {
    answer_caller(state, entry->second, outcome, reason, text, actions);
    state.pending.erase(entry);
}

/// Ends a request without a reply: as unknown if any copy of it may have run, else as not run.
void finish_without_reply(host_state& state, std::map<request_id, pending_request>::iterator entry, refusal reason,
                          host_actions& actions) {
    const bool may_have_run = entry->second.may_have_run || !entry->second.targets.empty();
    finish(state, entry, may_have_run ? request_outcome::unknown : request_outcome::not_run, reason, to_string(reason), actions);
}

/// Called when a host will not reply any more. Sends the request to the next host, or ends it if no other copy is outstanding.
void try_next(host_state& state, std::map<request_id, pending_request>::iterator entry, const host_id& tried_host, refusal reason,
              const std::string& text, instant now, host_actions& actions) {
    auto& pending = entry->second;
    pending.targets.erase(tried_host);
    pending.tried_hosts.insert(tried_host);
    const auto target = next_target(state, pending);
    const bool ran_nowhere = pending.targets.empty() && !pending.may_have_run;
    if (target && (ran_nowhere || is_retryable(pending.request))) {
        send_request(state, pending, *target, now, actions);
    } else if (pending.targets.empty()) {
        const auto outcome = pending.may_have_run ? request_outcome::unknown : request_outcome::not_run;
        finish(state, entry, outcome, reason, text, actions);
    }
}

bool spend_token(host_state& state, const pending_request& pending, instant now) {
    if (counts_against_rate(pending.request.kind) && !try_spend(state.shares, pending.workspace, now)) {
        return false;
    }
    ++state.counts[pending.workspace].admitted;
    return true;
}

void send_to_first_target(host_state& state, std::map<request_id, pending_request>::iterator entry, instant now,
                          host_actions& actions) {
    const auto target = next_target(state, entry->second);
    if (target) {
        send_request(state, entry->second, *target, now, actions);
    } else {
        finish(state, entry, request_outcome::not_run, refusal::owner_unreachable, "no host owns the database", actions);
    }
}

caller_reply make_caller_reply(const host_state& state, const pending_request& pending, const database_reply& reply) {
    caller_reply result{pending.request_number, reply.outcome,    reply.reason, reply.body, "", "",
                        reply.served_by,        pending.workspace};
    auto session = pending.session;
    auto& seen = session.seen[pending.request.database];
    seen = std::max(seen, reply.session);
    result.session_token = format_token(session, state.settings.token_secret);
    return result;
}

/// Returns true for a refusal that depends on the state of the replying host, so that another host may accept the request.
bool is_host_specific_refusal(const database_reply& reply) {
    return reply.outcome == request_outcome::not_run &&
           (reply.reason == refusal::no_recent_document || reply.reason == refusal::owner_unreachable);
}

void try_standby_after_timeout(host_state& state, pending_request& pending, instant now, host_actions& actions) {
    const bool is_overdue = now - pending.sent >= state.settings.forward_timeout;
    if (!is_overdue || !is_retryable(pending.request) || pending.targets.contains(state.settings.self.id)) {
        return;
    }
    if (const auto target = next_target(state, pending)) {
        send_request(state, pending, *target, now, actions);
    }
}

void tick_pending_request(host_state& state, std::map<request_id, pending_request>::iterator entry, instant now,
                          host_actions& actions) {
    auto& pending = entry->second;
    if (pending.stage == pending_stage::waiting_for_share) {
        if (spend_token(state, pending, now)) {
            send_to_first_target(state, entry, now, actions);
        } else if (now - pending.arrived >= state.settings.loan_timeout || now >= pending.deadline) {
            finish(state, entry, request_outcome::not_run, refusal::over_rate, "the workspace's rate and burst are used up",
                   actions);
        }
        return;
    }
    if (now >= pending.deadline) {
        finish_without_reply(state, entry, refusal::deadline, actions);
        return;
    }
    try_standby_after_timeout(state, pending, now, actions);
}

/// Sets the number of waiting requests of each workspace, so that enough tokens are borrowed for all of them.
void update_waiting_requests(host_state& state) {
    std::map<workspace_id, std::size_t> waiting;
    for (const auto& [id, pending] : state.pending) {
        if (pending.stage == pending_stage::waiting_for_share) {
            ++waiting[pending.workspace];
        }
    }
    for (const auto& [workspace, count] : waiting) {
        set_waiting_requests(state.shares, workspace, count);
    }
}

}  // namespace

void send_loan_messages(host_state& state, instant now, host_actions& actions) {
    for (auto& loan : due_loan_requests(state.shares, now, state.random)) {
        send_peer(state, loan.lender, std::move(loan.request), actions);
    }
    for (auto& returned : due_loan_returns(state.shares, now)) {
        send_peer(state, returned.receiver, std::move(returned.grant), actions);
    }
}

void receive_caller_request(host_state& state, const caller_request& request, instant now, host_actions& actions) {
    if (serving_state(state, now) != recency::recent) {
        actions.emplace_back(make_refusal(
            request.request_number, {refusal::no_recent_document, "this host cannot prove that its document is recent", ""}));
        return;
    }
    auto admitted = admit(state, request, now);
    if (const auto* refused = std::get_if<refused_request>(&admitted)) {
        count_refusal(state, refused->workspace, refused->reason);
        actions.emplace_back(make_refusal(request.request_number, *refused));
        return;
    }
    auto& pending = std::get<pending_request>(admitted);
    const auto& settings = state.settings;
    pending.request.id = settings.self.id + "/" + settings.start_nonce + "/" + std::to_string(state.next_request++);
    const auto id = pending.request.id;
    const auto entry = state.pending.emplace(id, std::move(pending)).first;
    if (spend_token(state, entry->second, now)) {
        send_to_first_target(state, entry, now, actions);
    } else {
        update_waiting_requests(state);
        send_loan_messages(state, now, actions);
    }
}

void receive_reply(host_state& state, const host_id& from, const database_reply& reply, instant now, host_actions& actions) {
    const auto entry = state.pending.find(reply.id);
    if (entry == state.pending.end() || !entry->second.targets.contains(from)) {
        return;
    }
    if (is_host_specific_refusal(reply)) {
        try_next(state, entry, from, reply.reason, reply.body, now, actions);
        return;
    }
    const bool others_may_answer = entry->second.targets.size() > 1 && reply.outcome != request_outcome::done;
    if (others_may_answer) {
        entry->second.targets.erase(from);
        return;
    }
    auto result = make_caller_reply(state, entry->second, reply);
    if (result.outcome == request_outcome::not_run && entry->second.may_have_run) {
        result.outcome = request_outcome::unknown;
    }
    if (!reply.transaction.empty()) {
        const auto& pending = entry->second;
        result.transaction_token = format_token(
            transaction_token{pending.workspace, pending.request.database, from, reply.transaction}, state.settings.token_secret);
    }
    if (reply.outcome != request_outcome::done) {
        count_refusal(state, entry->second.workspace, reply.reason);
    }
    state.pending.erase(entry);
    actions.emplace_back(std::move(result));
}

void retry_requests_of_lost_peer(host_state& state, const host_id& peer, instant now, host_actions& actions) {
    for (auto entry = state.pending.begin(); entry != state.pending.end();) {
        const auto current = entry++;
        auto& pending = current->second;
        if (!pending.targets.contains(peer)) {
            continue;
        }
        pending.may_have_run = true;
        const auto reason = pending.transaction_host.empty() ? refusal::connection_lost : refusal::transaction_lost;
        try_next(state, current, peer, reason, "the link to the database's owner broke", now, actions);
    }
}

void retry_unsent_request(host_state& state, const host_id& peer, const request_id& request, instant now, host_actions& actions) {
    const auto entry = state.pending.find(request);
    if (entry == state.pending.end()) {
        return;
    }
    const bool in_transaction = !entry->second.transaction_host.empty();
    try_next(state, entry, peer, in_transaction ? refusal::transaction_lost : refusal::owner_unreachable,
             "the database's owner cannot be reached", now, actions);
}

void tick_pending_requests(host_state& state, instant now, host_actions& actions) {
    for (auto entry = state.pending.begin(); entry != state.pending.end();) {
        const auto current = entry++;
        tick_pending_request(state, current, now, actions);
    }
    update_waiting_requests(state);
}

}  // namespace camphorstack
