#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"
#include "camphorstack/coordination/coordination_messages.hpp"

namespace camphorstack {

/// How one collection is followed.
struct collection_watch_settings {
    millis watch_time;        ///< The store answers a watch without changes after this time; 0 for no watch.
    millis list_interval;     ///< Between plain reads of the whole collection; 0 if only watched.
    millis answer_timeout;    ///< Beyond the time that the store may take.
    millis retry_interval;    ///< After a failed call.
    millis max_evidence_age;  ///< The collection is read anew when the evidence is older, as a watch may be silent; 0 for never.
    millis
        max_retry_interval;  ///< The retry interval doubles up to here, and is this long while another host's evidence is fresh.

    friend bool operator==(const collection_watch_settings&, const collection_watch_settings&) = default;
};

/// A call in flight.
struct pending_catalog_call {
    std::uint64_t id = 0;
    instant sent;

    friend bool operator==(const pending_catalog_call&, const pending_catalog_call&) = default;
};

/// Follows one collection of the store: lists it, then watches for changes, and lists it again when its history is gone.
///
/// A watch always starts from the last revision that carried a change, never from one that an answer without changes names: the
/// store may have skipped changes of the last moments, and they would then never be heard of.
struct collection_watch {
    collection collection_id = collection::document;
    collection_watch_settings settings;
    bool listed = false;               ///< The first list is complete.
    store_revision revision = 0;       ///< Changes up to here are known, and watches start from here.
    store_revision seen_revision = 0;  ///< Of the store, when the collection was last read whole.
    store_revision last_change = 0;    ///< Newest change of the collection that is known.
    store_revision listing_revision = 0;
    std::string after;                  ///< Last name of an incomplete list.
    std::vector<catalog_item> partial;  ///< Items of an incomplete list.
    instant listing_sent;               ///< When the first page of the list was asked for.
    std::optional<pending_catalog_call> listing;
    std::optional<pending_catalog_call> watching;
    instant next_list;
    bool list_wanted = false;  ///< Another host knows of a change that this one does not.
    instant next_watch;
    std::optional<instant> evidence;  ///< Every change up to this instant of the own clock is known.
    bool reachable = false;           ///< The last call was answered.
    int failures = 0;                 ///< Calls in a row that were not answered.
};

/// News of one collection.
struct collection_update {
    bool complete = false;  ///< `items` is the whole collection; what it lacks is gone.
    std::vector<catalog_item> items;
    std::vector<std::string> removed;

    friend bool operator==(const collection_update&, const collection_update&) = default;
};

/// Lets a collection that waits to try again do so now, since the store has answered a call of another one.
void skip_retry_delay(collection_watch& watch, instant now);

/// Calls that are due. Ids are taken from `next_id`.
std::vector<catalog_call> due_calls(collection_watch& watch, std::uint64_t& next_id, instant now);

/// True if the answer belongs to one of the watch's calls.
[[nodiscard]] bool owns_call(const collection_watch& watch, std::uint64_t id);

/// Takes what another host knows, by an answer to a question that was sent at `asked`. Asks the store anew if that is more.
void receive_evidence(collection_watch& watch, const collection_evidence& told, instant asked, instant now);

/// Takes an answer. Returns news if there are any.
std::optional<collection_update> receive_answer(collection_watch& watch, const catalog_answer& answer, instant now);

}  // namespace camphorstack
