#include "camphorstack/catalog/collection_watch.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace camphorstack {

namespace {

void restart_list(collection_watch& watch, instant next) {
    watch.after.clear();
    watch.partial.clear();
    watch.next_list = next;
}

constexpr int max_retry_doublings = 4;
/// The longest time limit of a list is the usual one, doubled this many times.
constexpr int max_limit_doublings = 2;

bool has_fresh_evidence(const collection_watch& watch, instant now) {
    return watch.evidence && now - *watch.evidence < watch.settings.fresh_evidence_age;
}

/// Returns the time limit of the next list. A store that answers slowly must not keep a host from ever getting a list, so the
/// limit is extended for every second list in a row that got no answer in time. The lists in between, and those of other
/// collections, keep the usual limit, because after an outage they find out sooner that the store answers again.
millis list_time_limit(const collection_watch& watch, instant now) {
    const auto turn = watch.expired_lists + static_cast<int>(watch.collection_id);
    if (has_fresh_evidence(watch, now) || turn % 2 == 0) {
        return watch.settings.answer_timeout;
    }
    return watch.settings.answer_timeout * (std::int64_t{1} << std::min((watch.expired_lists + 1) / 2, max_limit_doublings));
}

/// Counts a failed call. Returns the delay before the retry.
millis record_failure(collection_watch& watch, const std::string& failure, instant now) {
    watch.reachable = false;
    watch.failure = failure;
    const auto& settings = watch.settings;
    const auto max_delay = std::max(settings.max_retry_interval, settings.retry_interval);
    const auto doubled = settings.retry_interval * (std::int64_t{1} << std::min(watch.failures, max_retry_doublings));
    ++watch.failures;
    return has_fresh_evidence(watch, now) ? max_delay : std::min(doubled, max_delay);
}

void record_answer(collection_watch& watch) {
    watch.reachable = true;
    watch.failures = 0;
    watch.expired_lists = 0;
    watch.failure.clear();
}

void advance_evidence(collection_watch& watch, instant sent) {
    watch.evidence = std::max(watch.evidence.value_or(sent), sent);
}

/// Notes the changes of a list or a watch that knows all changes up to `known`. A later page of a list may show changes after
/// that; they do not count, as the earlier pages may lack others.
void advance_revisions(collection_watch& watch, store_revision known, const std::vector<catalog_item>& items) {
    for (const auto& item : items) {
        if (item.revision <= known) {
            watch.last_change = std::max(watch.last_change, item.revision);
        }
    }
}

/// Schedules the next list after one that got no answer in time. The call has taken longer than a retry delay, so it is retried
/// at once unless the evidence is fresh.
void retry_expired_list(collection_watch& watch, millis limit, instant now) {
    ++watch.expired_lists;
    const auto delay = record_failure(watch, "no answer within " + std::to_string(limit.count) + " ms", now);
    restart_list(watch, has_fresh_evidence(watch, now) ? now + delay : now);
}

void retry_expired_watch(collection_watch& watch, instant now) {
    watch.reachable = false;
    watch.failure = "a watch was not answered in time";
    watch.next_watch = now;
}

millis watch_time_limit(const collection_watch& watch) {
    return watch.settings.watch_time + watch.settings.answer_timeout;
}

/// Returns true if the adapter has given the call up at the end of its time limit.
bool has_expired(const catalog_answer& answer, instant sent, millis limit, instant now) {
    return answer.status == catalog_status::no_answer && now - sent >= limit;
}

std::string describe_failure(const catalog_answer& answer) {
    return answer.failure.empty() ? to_string(answer.status) : answer.failure;
}

std::optional<collection_update> receive_list(collection_watch& watch, const catalog_answer& answer,
                                              const pending_catalog_call& call, instant now) {
    const auto sent = call.sent;
    if (has_expired(answer, sent, call.limit, now)) {
        retry_expired_list(watch, call.limit, now);
        return std::nullopt;
    }
    if (answer.status != catalog_status::done) {
        restart_list(watch, now + record_failure(watch, describe_failure(answer), now));
        return std::nullopt;
    }
    record_answer(watch);
    if (watch.after.empty()) {
        watch.listing_sent = sent;
        watch.listing_revision = answer.revision;
    }
    watch.partial.insert(watch.partial.end(), answer.items.begin(), answer.items.end());
    if (answer.more && !answer.items.empty()) {
        watch.after = answer.items.back().name;
        watch.next_list = now;
        return std::nullopt;
    }
    collection_update update{true, std::exchange(watch.partial, {}), {}};
    const auto first_sent = watch.listing_sent;
    const bool is_periodic = watch.settings.list_interval > millis{0};
    restart_list(watch, is_periodic ? first_sent + watch.settings.list_interval : now);
    const bool is_outdated = watch.listed && watch.listing_revision < watch.revision;
    // A watch in flight continues from its own revision; it may report changes again that the list already contained.
    watch.revision = std::max(watch.revision, watch.listing_revision);
    watch.seen_revision = std::max(watch.seen_revision, watch.listing_revision);
    if (!watch.listed) {
        watch.listed = true;
        watch.next_watch = now;
    }
    advance_evidence(watch, first_sent);
    advance_revisions(watch, watch.listing_revision, update.items);
    if (is_outdated) {
        // Changes that arrived while the list was under way are missing from it.
        return std::nullopt;
    }
    return update;
}

std::optional<collection_update> receive_watch(collection_watch& watch, const catalog_answer& answer, instant sent, instant now) {
    if (answer.status == catalog_status::history_gone) {
        record_answer(watch);
        watch.listed = false;
        restart_list(watch, now);
        return std::nullopt;
    }
    if (has_expired(answer, sent, watch_time_limit(watch), now)) {
        retry_expired_watch(watch, now);
        return std::nullopt;
    }
    if (answer.status != catalog_status::done) {
        watch.next_watch = now + record_failure(watch, describe_failure(answer), now);
        return std::nullopt;
    }
    record_answer(watch);
    watch.next_watch = now;
    advance_evidence(watch, sent - watch_blind_time);
    // Without changes the revision of the store proves nothing: such an answer may lack changes before that revision. A list or
    // another host may have brought later changes while the answer was under way.
    if ((answer.items.empty() && answer.removed.empty()) || answer.revision < watch.revision) {
        return std::nullopt;
    }
    advance_revisions(watch, answer.revision, answer.items);
    watch.revision = answer.revision;
    if (!answer.removed.empty()) {
        // The answer does not carry the revision of each removal; the store's revision is an upper bound.
        watch.last_change = std::max(watch.last_change, answer.revision);
    }
    return collection_update{false, answer.items, answer.removed};
}

/// Takes the decoded changes of another host. The store is asked if they cannot be decoded.
std::optional<collection_update> receive_decoded(collection_watch& watch, const catalog_answer& answer, instant now) {
    auto changes = std::exchange(watch.decoding, std::nullopt);
    if (answer.status != catalog_status::done) {
        want_list(watch, now);
        return std::nullopt;
    }
    if (watch.revision != changes->known) {
        // The store has answered meanwhile. The other host's changes may be older than that answer.
        return std::nullopt;
    }
    changes->update.items = answer.items;
    watch.revision = std::max(watch.revision, changes->revision);
    watch.last_change = std::max(watch.last_change, changes->last_change);
    advance_revisions(watch, watch.revision, answer.items);
    advance_evidence(watch, changes->evidence);
    return std::move(changes->update);
}

bool timed_out(const std::optional<pending_catalog_call>& open, instant now) {
    return open && now - open->sent >= open->limit + (open->begun ? answer_transfer_timeout : millis{0});
}

}  // namespace

std::vector<catalog_call> due_calls(collection_watch& watch, std::uint64_t& next_id, instant now) {
    std::vector<catalog_call> calls;
    if (timed_out(watch.listing, now)) {
        const auto limit = watch.listing->limit;
        watch.listing.reset();
        retry_expired_list(watch, limit, now);
    }
    if (timed_out(watch.watching, now)) {
        watch.watching.reset();
        retry_expired_watch(watch, now);
    }
    const bool evidence_old =
        watch.settings.max_evidence_age > millis{0} && watch.evidence && now - *watch.evidence >= watch.settings.max_evidence_age;
    const bool list_wanted =
        watch.list_wanted || !watch.listed || watch.settings.list_interval > millis{0} || !watch.after.empty() || evidence_old;
    if (list_wanted && !watch.listing && now >= watch.next_list) {
        watch.listing = pending_catalog_call{next_id++, now, list_time_limit(watch, now)};
        watch.list_wanted = false;
        calls.push_back({watch.listing->id,
                         watch.collection_id,
                         catalog_operation::list,
                         watch.after,
                         0,
                         millis{0},
                         "",
                         {},
                         watch.listing->limit});
    }
    const bool watches = watch.settings.watch_time > millis{0};
    if (watches && watch.listed && !watch.watching && now >= watch.next_watch) {
        watch.watching = pending_catalog_call{next_id++, now, watch_time_limit(watch)};
        calls.push_back({watch.watching->id,
                         watch.collection_id,
                         catalog_operation::watch,
                         "",
                         watch.revision,
                         watch.settings.watch_time,
                         "",
                         {},
                         watch.settings.answer_timeout});
    }
    return calls;
}

millis time_since_call(const collection_watch& watch, std::uint64_t id, instant now) {
    for (const auto& open : {watch.listing, watch.watching}) {
        if (open && open->id == id) {
            return now - open->sent;
        }
    }
    return millis{0};
}

void retry_now(collection_watch& watch, millis answer_time, instant now) {
    const auto& open = watch.listing;
    if (open && !open->begun && now - open->sent >= watch.settings.answer_timeout + answer_time) {
        watch.listing.reset();
        restart_list(watch, now);
    }
    if (watch.failures > 0) {
        watch.next_list = std::min(watch.next_list, now);
        watch.next_watch = std::min(watch.next_watch, now);
    }
}

bool owns_call(const collection_watch& watch, std::uint64_t id) {
    return (watch.decoding && watch.decoding->call == id) || (watch.listing && watch.listing->id == id) ||
           (watch.watching && watch.watching->id == id);
}

bool lacks_change(const collection_watch& watch, const collection_evidence& reported) {
    return watch.listed && std::max(watch.seen_revision, watch.last_change) < reported.last_change;
}

bool is_behind(const collection_watch& watch) {
    return watch.lacking && std::max(watch.seen_revision, watch.last_change) < watch.lacking->revision;
}

bool note_reported_change(collection_watch& watch, const collection_evidence& reported, instant now) {
    if (!lacks_change(watch, reported)) {
        return false;
    }
    if (is_behind(watch)) {
        watch.lacking->revision = std::max(watch.lacking->revision, reported.last_change);
        return false;
    }
    watch.lacking = reported_change{reported.last_change, now};
    return true;
}

void want_list(collection_watch& watch, instant now) {
    if (!watch.listing) {
        watch.next_list = now;
        watch.list_wanted = true;
    }
}

void receive_evidence(collection_watch& watch, const collection_evidence& reported, instant asked, instant now) {
    if (!watch.listed) {
        return;
    }
    if (lacks_change(watch, reported)) {
        want_list(watch, now);
    } else {
        advance_evidence(watch, asked - reported.age);
    }
}

void receive_answer_begun(collection_watch& watch, const catalog_answer_begun& begun) {
    for (auto* const open : {&watch.listing, &watch.watching}) {
        if (*open && (*open)->id == begun.id) {
            (*open)->begun = true;
        }
    }
}

std::optional<collection_update> receive_answer(collection_watch& watch, const catalog_answer& answer, instant now) {
    if (watch.decoding && watch.decoding->call == answer.id) {
        return receive_decoded(watch, answer, now);
    }
    if (watch.listing && watch.listing->id == answer.id) {
        const auto call = *std::exchange(watch.listing, std::nullopt);
        return receive_list(watch, answer, call, now);
    }
    if (watch.watching && watch.watching->id == answer.id) {
        const auto sent = std::exchange(watch.watching, std::nullopt)->sent;
        return receive_watch(watch, answer, sent, now);
    }
    return std::nullopt;
}

}  // namespace camphorstack
