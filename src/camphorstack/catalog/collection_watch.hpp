#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"
#include "camphorstack/coordination/coordination_messages.hpp"

namespace camphorstack {

/// Watches of the store may report nothing for this long although the collection changes (the platform's page on impairments:
/// "watches hear nothing for a second"), so an answer to a watch proves nothing about this time before it was requested.
constexpr millis watch_blind_time{1000};

/// Added to the time limit of an answer that has begun to arrive: the store's largest object, 1 MiB, over a link of 2 Mbit/s.
constexpr millis answer_transfer_timeout{4200};

/// Intervals and time limits for following one collection.
struct collection_watch_settings {
    millis watch_time;      ///< The store answers a watch after this time even without changes; 0 for no watch.
    millis list_interval;   ///< Between lists of the whole collection; 0 to list only when needed.
    millis answer_timeout;  ///< Time limit until an answer begins; for a watch it is added to `watch_time`.
    millis retry_interval;  ///< Before the retry of a failed call. Doubles with each failure in a row.
    millis
        max_evidence_age;  ///< The collection is listed again when its evidence is older, as watches may miss changes; 0: never.
    millis max_retry_interval;  ///< Upper limit of the retry delay. Used from the first failure while the evidence is fresh.
    millis fresh_evidence_age{1500};  ///< Evidence, the host's own or another host's, that is younger is fresh.

    friend bool operator==(const collection_watch_settings&, const collection_watch_settings&) = default;
};

/// A call that the store has not answered yet.
struct pending_catalog_call {
    std::uint64_t id = 0;
    instant sent;
    millis limit;        ///< Time limit until the answer begins.
    bool begun = false;  ///< The answer has begun to arrive.

    friend bool operator==(const pending_catalog_call&, const pending_catalog_call&) = default;
};

/// Changes of one collection, for the host.
struct collection_update {
    bool complete = false;  ///< `items` is the whole collection; objects that it lacks were removed.
    std::vector<catalog_item> items;
    std::vector<std::string> removed;  ///< Names of removed objects.

    friend bool operator==(const collection_update&, const collection_update&) = default;
};

/// Changes that another host has sent, while the adapter decodes their objects.
struct relayed_changes {
    store_revision known = 0;        ///< Revision up to which this host knew all changes when it asked.
    std::uint64_t call = 0;          ///< Id of the decode call.
    collection_update update;        ///< The objects are added when they have been decoded.
    store_revision revision = 0;     ///< All changes up to this revision will be known.
    store_revision last_change = 0;  ///< Revision of the newest change.
    instant evidence;                ///< Evidence of the collection with these changes.
};

/// A request for changes to another host.
struct pending_catalog_request {
    std::uint64_t sequence = 0;
    store_revision known = 0;   ///< Revision after which changes were asked for.
    store_revision wanted = 0;  ///< Revision of a change that the answer must contain.
    instant sent;

    friend bool operator==(const pending_catalog_request&, const pending_catalog_request&) = default;
};

/// A change that another host has reported and this host lacks.
struct reported_change {
    store_revision revision = 0;  ///< Revision of the newest such change.
    instant heard;                ///< When this host first heard that it lacks a change.

    friend bool operator==(const reported_change&, const reported_change&) = default;
};

/// Follows one collection of the store: lists the collection, then watches for changes, and lists it again if the store has
/// dropped the changes that the watch asks for.
///
/// Evidence is the latest instant up to which this host is proven to know every change of the collection. A list proves the time
/// when it was requested; a watch proves less, see `watch_blind_time`.
///
/// A watch always starts from the revision of the last list or change, never from the revision in an answer without changes: such
/// an answer may lack the most recent changes, and a watch from its revision would never report them.
struct collection_watch {
    collection collection_id = collection::document;
    collection_watch_settings settings;
    bool listed = false;                               ///< A list of the collection is complete.
    store_revision revision = 0;                       ///< All changes up to this revision are known. Watches start from it.
    store_revision seen_revision = 0;                  ///< Revision of the store at the last complete list.
    store_revision last_change = 0;                    ///< Revision of the newest known change of the collection.
    store_revision listing_revision = 0;               ///< Revision of the store in the first page of the current list.
    std::string after;                                 ///< Name of the last item received of an incomplete list.
    std::vector<catalog_item> partial;                 ///< Items received of an incomplete list.
    instant listing_sent;                              ///< When the first page of the current list was requested.
    std::optional<pending_catalog_call> listing;       ///< List call in flight.
    std::optional<pending_catalog_call> watching;      ///< Watch call in flight.
    instant next_list;                                 ///< Earliest time of the next list call.
    bool list_wanted = false;                          ///< Another host has reported a change that this host does not know.
    instant next_watch;                                ///< Earliest time of the next watch call.
    std::optional<instant> evidence;                   ///< Every change up to this instant of this host's clock is known.
    bool reachable = false;                            ///< The store answered the last call.
    int failures = 0;                                  ///< Number of failed calls in a row.
    int expired_lists = 0;                             ///< Number of lists without an answer in time since the last answer.
    std::string failure;                               ///< What the last call failed of; empty if it was answered.
    std::optional<reported_change> lacking;            ///< Set by `note_reported_change`.
    std::optional<pending_catalog_request> requested;  ///< Request to another host in flight.
    bool relay_failed = false;                         ///< The last request to another host got no answer in time.
    std::optional<relayed_changes> decoding;           ///< Changes that another host has sent.
};

/// Makes a delayed retry due now. Called when the store has answered a call for another collection, which took `answer_time`.
/// Gives up a list that has had so much time in addition to the usual limit, as the store answers faster than that now.
void retry_now(collection_watch& watch, millis answer_time, instant now);

/// Returns the time since a pending call was sent; 0 if it is not a list or a watch of this collection.
[[nodiscard]] millis time_since_call(const collection_watch& watch, std::uint64_t id, instant now);

/// Returns the calls that are due now. Their ids are taken from `next_id`.
std::vector<catalog_call> due_calls(collection_watch& watch, std::uint64_t& next_id, instant now);

/// Returns true if the id is that of a pending call of this watch.
[[nodiscard]] bool owns_call(const collection_watch& watch, std::uint64_t id);

/// Handles the evidence of another host, received in answer to a report that this host sent at `asked`. Schedules a list if the
/// other host knows of a newer change.
void receive_evidence(collection_watch& watch, const collection_evidence& reported, instant asked, instant now);

/// Returns true if the other host knows of a change that this host does not know.
[[nodiscard]] bool lacks_change(const collection_watch& watch, const collection_evidence& reported);

/// Records that another host knows of a change that this host lacks. Returns true if this host was not behind before.
bool note_reported_change(collection_watch& watch, const collection_evidence& reported, instant now);

/// Returns true if this host lacks a change that another host has reported.
[[nodiscard]] bool is_behind(const collection_watch& watch);

/// Schedules a list.
void want_list(collection_watch& watch, instant now);

/// Gives a pending call whose answer has begun time for the rest of it.
void receive_answer_begun(collection_watch& watch, const catalog_answer_begun& begun);

/// Handles an answer to a pending call. Returns the changes that it completes, if any.
std::optional<collection_update> receive_answer(collection_watch& watch, const catalog_answer& answer, instant now);

}  // namespace camphorstack
