#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "camphorstack/catalog/catalog_messages.hpp"
#include "camphorstack/catalog/collection_watch.hpp"

namespace camphorstack {

/// Removal of an object, for hosts that still know it.
struct recorded_removal {
    store_revision revision = 0;  ///< Upper bound of the revision of the removal.
    std::string name;

    friend bool operator==(const recorded_removal&, const recorded_removal&) = default;
};

/// This host's copy of a collection as the store sent it, from which it answers the requests of other hosts.
struct relayed_collection {
    std::map<std::string, encoded_item> objects;
    std::deque<recorded_removal> removals;  ///< The most recent removals, oldest first.
    store_revision removals_since = 0;      ///< `removals` holds every removal after this revision.
    bool has_copy = false;                  ///< The collection has been listed.
};

/// Adds a change of the collection to the copy. `revision` is that up to which all changes are known now.
void record_update(relayed_collection& copy, const collection_update& update, store_revision revision);

/// Returns the changes after `known`; nothing if the copy is not complete, or if they have more than `max_bytes` of text.
[[nodiscard]] std::optional<collection_changes> changes_after(const relayed_collection& copy, store_revision known,
                                                              std::size_t max_bytes);

}  // namespace camphorstack
