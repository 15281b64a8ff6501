#include "camphorstack/contracts/remote_tokens.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/contracts/shares.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// A request without an answer for this long is no longer counted on; a round trip between regions takes 16 ms.
constexpr millis answer_wait{50};
/// A grant counts this long from when it was asked for. Operations that begin later would belong to a later window of the rate;
/// the platform lets a limit be passed by a tenth of its window of 5 s.
constexpr millis grant_lifetime{250};
/// A holder that did not answer, or could not be reached, is not asked for this long.
constexpr millis silent_pause{500};
/// First and longest pause before a holder without tokens is asked again. The pause doubles, so that a workspace far over its
/// rate does not keep all hosts asking.
constexpr millis first_pause{10};
constexpr millis longest_pause{320};
constexpr int most_doublings = 5;
/// After a refusal for want of tokens a workspace counts as over its rate for this long.
constexpr millis refusal_memory{500};

instant empty_until(const remote_tokens& tokens, const host_id& holder) {
    const auto found = tokens.empty.find(holder);
    return found == tokens.empty.end() ? instant{} : found->second.until;
}

void forget_silent(remote_tokens& tokens, instant now) {
    for (const auto& [sequence, asked] : tokens.open) {
        if (now - asked.sent >= answer_wait) {
            auto& memory = tokens.empty[asked.holder];
            memory.until = std::max(memory.until, asked.sent + silent_pause);
        }
    }
    std::erase_if(tokens.open, [now](const auto& item) { return now - item.second.sent >= grant_lifetime; });
}

std::int64_t expected_operations(const remote_tokens& tokens, instant now) {
    std::int64_t sum = 0;
    for (const auto& grant : tokens.granted) {
        sum += now < grant.until ? grant.count : 0;
    }
    for (const auto& [sequence, asked] : tokens.open) {
        sum += now - asked.sent < answer_wait ? asked.operations : 0;
    }
    return sum;
}

bool is_asked(const remote_tokens& tokens, const host_id& holder) {
    return std::ranges::any_of(tokens.open, [&holder](const auto& item) { return item.second.holder == holder; });
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
    for (const auto& [sequence, asked] : tokens.open) {
        if (now - asked.sent < answer_wait) {
            consider(now);
        }
    }
    for (const auto& holder : tokens.holders) {
        consider(std::max(now, empty_until(tokens, holder)));
    }
    return earliest;
}

std::vector<addressed_token_request> due_token_requests(share_state& state, instant now) {
    std::vector<addressed_token_request> requests;
    for (auto& [id, share] : state.rate_limits) {
        auto& tokens = share.remote;
        forget_silent(tokens, now);
        const auto missing = share.waiting - expected_operations(tokens, now);
        if (missing <= 0) {
            continue;
        }
        const auto holder = std::ranges::find_if(
            tokens.holders, [&](const host_id& one) { return empty_until(tokens, one) <= now && !is_asked(tokens, one); });
        if (holder == tokens.holders.end()) {
            continue;
        }
        const auto sequence = state.next_sequence++;
        tokens.open[sequence] = {*holder, now, missing};
        requests.push_back({*holder, {sequence, id, missing}});
    }
    return requests;
}

token_grant grant_tokens(share_state& state, const token_request& request, instant now) {
    token_grant grant{request.sequence, request.workspace, 0, longest_pause};
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
    const auto opened = tokens.open.find(grant.sequence);
    if (opened == tokens.open.end() || opened->second.holder != holder) {
        return;
    }
    const auto asked = opened->second;
    tokens.open.erase(opened);
    auto& memory = tokens.empty[holder];
    memory.answers = grant.operations > 0 ? 0 : std::min(memory.answers + 1, most_doublings);
    const auto pause = std::min(first_pause * (std::int64_t{1} << memory.answers), longest_pause);
    memory.until =
        grant.next_token > millis{0} ? now + std::max(grant.next_token, grant.operations > 0 ? millis{0} : pause) : now;
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
    tokens.open.erase(request.sequence);
    tokens.empty[holder].until = now + silent_pause;
}

void record_refusal(share_state& state, const workspace_id& id, instant now) {
    const auto found = state.rate_limits.find(id);
    if (found != state.rate_limits.end()) {
        found->second.last_refusal = now;
    }
}

bool was_refused_recently(const share_state& state, const workspace_id& id, instant now) {
    const auto found = state.rate_limits.find(id);
    return found != state.rate_limits.end() && now - found->second.last_refusal < refusal_memory;
}

instant next_token_at(const share_state& state, const workspace_id& id, instant now) {
    /// A workspace without a contract or a holder gets no token in any time that an operation waits.
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
