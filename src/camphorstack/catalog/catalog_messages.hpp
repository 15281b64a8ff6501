#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"

namespace camphorstack {

/// An object of the store in the form in which the platform's adapter received it. Only the adapter can decode the text.
struct encoded_item {
    std::string name;
    store_revision revision = 0;
    std::string text;

    friend bool operator==(const encoded_item&, const encoded_item&) = default;
};

/// Asks another host for the changes of a collection, so that the receiver's copy serves instead of a call to the store.
struct catalog_request {
    std::uint64_t sequence = 0;  ///< Numbers the requests of one process; echoed in the answer.
    collection collection_id = collection::document;
    store_revision known = 0;   ///< The sender knows all changes up to this revision.
    store_revision wanted = 0;  ///< Revision of a change that the sender lacks. The answer waits until the receiver has it.

    friend bool operator==(const catalog_request&, const catalog_request&) = default;
};

/// Changes of a collection after a revision.
struct collection_changes {
    bool complete = false;  ///< `items` is the whole collection; objects that it lacks were removed.
    std::vector<encoded_item> items;
    std::vector<std::string> removed;  ///< Names of removed objects.

    friend bool operator==(const collection_changes&, const collection_changes&) = default;
};

/// Answer to a `catalog_request`. Without the wanted change if the sender has it but cannot pass it on.
struct catalog_reply {
    std::uint64_t sequence = 0;
    collection collection_id = collection::document;
    collection_changes changes;
    store_revision revision = 0;     ///< With the changes, the receiver knows all changes up to this revision.
    store_revision last_change = 0;  ///< Revision of the newest change of the collection that the sender knows.
    millis age;                      ///< Age of the sender's evidence for the collection.

    friend bool operator==(const catalog_reply&, const catalog_reply&) = default;
};

}  // namespace camphorstack
