#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/catalog/endpoint_entry.hpp"
#include "camphorstack/document/document.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Version of the whole store or of one object in it. Only rises.
using store_revision = std::uint64_t;

/// What the platform's store holds for the fleet, by who writes it.
enum class collection : std::uint8_t {
    document,     ///< The operators' document, one object.
    endpoints,    ///< Written by the endpoints themselves.
    evacuations,  ///< Written by operators; names data centres that receive nothing.
    fleet,        ///< Written by the hosts: coordinator, members, leaders.
};

constexpr std::size_t collection_count = 4;

[[nodiscard]] const char* to_string(collection value);

/// An object whose content does not have the required form.
struct unreadable_item {
    std::string reason;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

/// The data centre named like the object is evacuated.
struct evacuation_item {
    friend bool operator==(const evacuation_item&, const evacuation_item&) = default;
};

/// A record of the fleet's own, as text.
struct fleet_item {
    std::string text;

    friend bool operator==(const fleet_item&, const fleet_item&) = default;
};

using catalog_content =
    std::variant<unreadable_item, std::shared_ptr<const document>, endpoint_entry, evacuation_item, fleet_item>;

struct catalog_item {
    std::string name;
    store_revision revision = 0;
    catalog_content content;

    friend bool operator==(const catalog_item&, const catalog_item&) = default;
};

enum class catalog_operation : std::uint8_t { list, watch, create, replace };

[[nodiscard]] const char* to_string(catalog_operation value);

struct catalog_call {
    std::uint64_t id = 0;
    collection collection_id = collection::document;
    catalog_operation operation = catalog_operation::list;
    std::string name;             ///< Of the object to write; when listing, items after this name.
    store_revision revision = 0;  ///< Watch: changes after it. Replace: the revision that the object must have.
    millis wait;                  ///< Watch: the store answers after this time if nothing changes.
    std::string text;             ///< To be written.

    friend bool operator==(const catalog_call&, const catalog_call&) = default;
};

enum class catalog_status : std::uint8_t {
    done,
    conflict,      ///< The object exists already or has another revision; nothing was written.
    missing,       ///< There is no such object.
    history_gone,  ///< Changes after the revision are no longer known.
    refused,       ///< The store answered that it did nothing.
    no_answer,     ///< A write may have been or may yet be carried out.
};

[[nodiscard]] const char* to_string(catalog_status value);

struct catalog_answer {
    std::uint64_t id = 0;
    catalog_status status = catalog_status::no_answer;
    std::vector<catalog_item> items;   ///< Listed, changed, or for a write the object as it is now.
    std::vector<std::string> removed;  ///< Names.
    bool more = false;                 ///< List: there are further items.
    store_revision revision = 0;       ///< Of the store.

    friend bool operator==(const catalog_answer&, const catalog_answer&) = default;
};

}  // namespace camphorstack
