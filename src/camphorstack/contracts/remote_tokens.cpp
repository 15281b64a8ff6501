#include "camphorstack/contracts/remote_tokens.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/contracts/shares.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// A token request without an answer for this long counts as lost; a round trip between regions takes 16 ms.
constexpr millis answer_timeout{50};
/// A grant is valid for this long after its request was sent. Operations that begin later would count in a later window of the
/// rate; the platform allows a limit to be exceeded by a tenth of its window of 5 s.
constexpr millis grant_lifetime{250};
/// Backoff towards a holder that did not answer or could not be reached.
constexpr millis unresponsive_backoff{500};
/// Initial and longest backoff towards a holder without tokens. The backoff doubles, so that hosts do not keep sending requests
/// for a workspace that is far over its rate.
constexpr millis initial_backoff{10};
constexpr millis max_backoff{320};
constexpr int max_doublings = 5;
/// Longest advised time to come back: a caller that waits longer for nothing would rather ask again.
constexpr millis max_return_delay{2000};
/// A workspace counts as over its rate for this long after a refusal for lack of tokens.
constexpr millis refusal_window{500};

instant backoff_end(const remote_tokens& tokens, const host_id& holder) {
    const auto found = tokens.backoffs.find(holder);
    return found == tokens.backoffs.end() ? instant{} : found->second.until;
}

/// Starts the backoff towards holders that did not answer in time, and removes requests whose grant would have expired.
void update_pending_requests(remote_tokens& tokens, instant now) {
    for (const auto& [sequence, asked] : tokens.pending) {
        if (now - asked.sent >= answer_timeout) {
            auto& backoff = tokens.backoffs[asked.holder];
            backoff.until = std::max(backoff.until, asked.sent + unresponsive_backoff);
            backoff.unreachable = true;
        }
    }
    std::erase_if(tokens.pending, [now](const auto& item) { return now - item.second.sent >= grant_lifetime; });
}

std::int64_t expected_operations(const remote_tokens& tokens, instant now) {
    std::int64_t sum = 0;
    for (const auto& grant : tokens.granted) {
        sum += now < grant.until ? grant.count : 0;
    }
    for (const auto& [sequence, asked] : tokens.pending) {
        sum += now - asked.sent < answer_timeout ? asked.operations : 0;
    }
    return sum;
}

bool is_asked(const remote_tokens& tokens, const host_id& holder) {
    return std::ranges::any_of(tokens.pending, [&holder](const auto& item) { return item.second.holder == holder; });
}

}  // namespace

bool use_granted_operation(remote_tokens& tokens, instant now) {
    std::erase_if(tokens.granted, [now](const auto& grant) { return grant.count <= 0 || now >= grant.until; });
    if (tokens.granted.empty()) {
        return false;
    }
    --tokens.granted.front().count;
    return true;
}

std::optional<instant> next_remote_token_at(const remote_tokens& tokens, instant now) {
    std::optional<instant> earliest;
    const auto consider = [&earliest](instant at) { earliest = earliest ? std::min(*earliest, at) : at; };
    for (const auto& [sequence, asked] : tokens.pending) {
        if (now - asked.sent < answer_timeout) {
            consider(now);
        }
    }
    for (const auto& holder : tokens.holders) {
        consider(std::max(now, backoff_end(tokens, holder)));
    }
    return earliest;
}

std::vector<addressed_token_request> due_token_requests(share_state& state, instant now) {
    std::vector<addressed_token_request> requests;
    for (auto& [id, share] : state.rate_limits) {
        auto& tokens = share.remote;
        update_pending_requests(tokens, now);
        const auto missing = share.waiting - expected_operations(tokens, now);
        if (missing <= 0) {
            continue;
        }
        const auto holder = std::ranges::find_if(
            tokens.holders, [&](const host_id& one) { return backoff_end(tokens, one) <= now && !is_asked(tokens, one); });
        if (holder == tokens.holders.end()) {
            continue;
        }
        const auto sequence = state.next_sequence++;
        tokens.pending[sequence] = {*holder, now, missing};
        requests.push_back({*holder, {sequence, id, missing}});
    }
    return requests;
}

token_grant deny_tokens(const token_request& request) {
    return {request.sequence, request.workspace, 0, max_backoff};
}

token_grant grant_tokens(share_state& state, const token_request& request, instant now) {
    auto grant = deny_tokens(request);
    const auto found = state.rate_limits.find(request.workspace);
    if (found == state.rate_limits.end()) {
        return grant;
    }
    auto& share = found->second;
    accrue(share, now);
    grant.operations = std::clamp<std::int64_t>(share.tokens / request_cost, 0, std::max<std::int64_t>(0, request.operations));
    share.tokens -= grant.operations * request_cost;
    if (share.tokens >= request_cost) {
        grant.next_token = millis{0};
    } else if (share.accrual_rate > 0) {
        grant.next_token = millis{(request_cost - share.tokens) * milliseconds_per_second / share.accrual_rate + 1};
    }
    return grant;
}

void receive_token_grant(share_state& state, const host_id& holder, const token_grant& grant, instant now) {
    const auto found = state.rate_limits.find(grant.workspace);
    if (found == state.rate_limits.end()) {
        return;
    }
    auto& tokens = found->second.remote;
    const auto pending = tokens.pending.find(grant.sequence);
    if (pending == tokens.pending.end() || pending->second.holder != holder) {
        return;
    }
    const auto asked = pending->second;
    tokens.pending.erase(pending);
    auto& backoff = tokens.backoffs[holder];
    backoff.unreachable = false;
    backoff.empty_answers = grant.operations > 0 ? 0 : std::min(backoff.empty_answers + 1, max_doublings);
    const auto delay = std::min(initial_backoff * (std::int64_t{1} << backoff.empty_answers), max_backoff);
    backoff.until =
        grant.next_token > millis{0} ? now + std::max(grant.next_token, grant.operations > 0 ? millis{0} : delay) : now;
    const auto until = asked.sent + grant_lifetime;
    if (grant.operations <= 0 || until <= now) {
        return;
    }
    const granted_operations fresh{std::min(grant.operations, asked.operations), until};
    tokens.granted.insert(std::ranges::upper_bound(tokens.granted, until, {}, &granted_operations::until), fresh);
}

void fail_token_request(share_state& state, const host_id& holder, const token_request& request, instant now) {
    const auto found = state.rate_limits.find(request.workspace);
    if (found == state.rate_limits.end()) {
        return;
    }
    auto& tokens = found->second.remote;
    tokens.pending.erase(request.sequence);
    auto& backoff = tokens.backoffs[holder];
    backoff.until = now + unresponsive_backoff;
    backoff.unreachable = true;
}

void record_refusal(share_state& state, const workspace_id& id, instant now) {
    const auto found = state.rate_limits.find(id);
    if (found != state.rate_limits.end()) {
        found->second.last_refusal = now;
    }
}

bool is_cut_off_from_holders(const share_state& state, const workspace_id& id, instant now) {
    const auto found = state.rate_limits.find(id);
    if (found == state.rate_limits.end() || found->second.accrual_rate > 0 || found->second.remote.holders.empty()) {
        return false;
    }
    const auto& tokens = found->second.remote;
    return std::ranges::all_of(tokens.holders, [&](const host_id& holder) {
        const auto backoff = tokens.backoffs.find(holder);
        return backoff != tokens.backoffs.end() && backoff->second.unreachable && now < backoff->second.until;
    });
}

millis advise_return(share_state& state, const workspace_id& id, millis shortest, instant now) {
    const auto found = state.rate_limits.find(id);
    if (found == state.rate_limits.end()) {
        return shortest;
    }
    auto& share = found->second;
    // A host without a share gets about as much from the holders as one of them has.
    const auto parts = static_cast<millitokens>(std::max<std::size_t>(1, share.holders.size()));
    const auto rate = std::max<millitokens>({1, share.accrual_rate, share.rate_per_s / parts});
    const millis spacing{request_cost * milliseconds_per_second / rate};
    const auto first = std::max(next_token_at(state, id, now), now + spacing * share.waiting);
    const auto earliest = std::max(first, now + shortest);
    share.returns_until = std::min(std::max(earliest, share.returns_until + spacing), now + max_return_delay);
    return share.returns_until - now;
}

bool was_refused_recently(const share_state& state, const workspace_id& id, instant now) {
    const auto found = state.rate_limits.find(id);
    return found != state.rate_limits.end() && now - found->second.last_refusal < refusal_window;
}

instant next_token_at(const share_state& state, const workspace_id& id, instant now) {
    /// Delay reported for a workspace without a rate limit or a holder; longer than any operation waits.
    constexpr millis never{3'600'000};
    const auto found = state.rate_limits.find(id);
    if (found == state.rate_limits.end()) {
        return now + never;
    }
    const auto& share = found->second;
    auto earliest = now + never;
    if (share.tokens >= request_cost) {
        earliest = now;
    } else if (share.accrual_rate > 0) {
        const auto missing = request_cost - share.tokens;
        earliest = std::min(earliest, share.updated + millis{missing * milliseconds_per_second / share.accrual_rate + 1});
    }
    if (const auto remote = next_remote_token_at(share.remote, now)) {
        earliest = std::min(earliest, *remote);
    }
    return std::max(earliest, now);
}

}  // namespace camphorstack
