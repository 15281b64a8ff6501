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

/// Revision of the whole store or of one object in it. Increases with every write.
using store_revision = std::uint64_t;

/// The collections of objects that the platform's store holds for the fleet.
enum class collection : std::uint8_t {
    document,     ///< One object: the document, written by operators.
    endpoints,    ///< Written by the endpoints themselves.
    evacuations,  ///< Written by operators: the data centres that must receive no requests.
    fleet,        ///< Written by the hosts: coordinator, members, leaders and the claims of unreachable members.
    usage,        ///< Written and read by the coordinator: the usage report that is being sent. No host watches it.
};

/// Number of collections that hosts watch; they come first.
constexpr std::size_t collection_count = 4;

[[nodiscard]] const char* to_string(collection value);

/// Content of an object that could not be parsed.
struct unreadable_item {
    std::string reason;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

/// Evacuation of a data centre. The name of the object is the data centre's id.
struct evacuation_item {
    friend bool operator==(const evacuation_item&, const evacuation_item&) = default;
};

/// Text of a fleet record; see `parse_fleet_record`.
struct fleet_item {
    std::string text;

    friend bool operator==(const fleet_item&, const fleet_item&) = default;
};

/// Content of an object, by its collection.
using catalog_content =
    std::variant<unreadable_item, std::shared_ptr<const document>, endpoint_entry, evacuation_item, fleet_item>;

/// An object of the store.
struct catalog_item {
    std::string name;
    store_revision revision = 0;
    catalog_content content;
    std::vector<std::string> problems;  ///< Parts of the content that could not be read and were left out, each with a reason.
    std::string source = {};            ///< The object as the adapter can decode it again; empty if it cannot.

    friend bool operator==(const catalog_item&, const catalog_item&) = default;
};

enum class catalog_operation : std::uint8_t {
    list,
    watch,
    get,  ///< Reads one object.
    create,
    replace,
    decode,  ///< No call to the store: the adapter decodes objects that another host has sent.
};

[[nodiscard]] const char* to_string(catalog_operation value);

/// A call to the store.
struct catalog_call {
    std::uint64_t id = 0;
    collection collection_id = collection::document;
    catalog_operation operation = catalog_operation::list;
    std::string name;  ///< Get, create, replace: name of the object. List: only objects with a greater name are returned.
    store_revision revision = 0;            ///< Watch: report changes after it. Replace: revision that the object must have.
    millis wait;                            ///< Watch: the store answers after this time even if nothing has changed.
    std::string text;                       ///< Create, replace: new content of the object.
    std::vector<std::string> sources = {};  ///< Decode: the objects.
    millis answer_timeout{0};  ///< List, watch: time limit until the answer begins, after `wait`; 0 for the adapter's own.

    friend bool operator==(const catalog_call&, const catalog_call&) = default;
};

enum class catalog_status : std::uint8_t {
    done,
    conflict,      ///< Nothing was written: the object exists already or has another revision.
    missing,       ///< The object does not exist.
    history_gone,  ///< Watch: the store has dropped the changes after the given revision.
    refused,       ///< The store answered with an error and carried nothing out.
    no_answer,     ///< The call failed or timed out; a write may have been carried out, or may still be.
};

[[nodiscard]] const char* to_string(catalog_status value);

/// The first part of the store's answer to a list or a watch has arrived. A large answer may take long after that.
struct catalog_answer_begun {
    std::uint64_t id = 0;  ///< Of the call.

    friend bool operator==(const catalog_answer_begun&, const catalog_answer_begun&) = default;
};

/// The store's answer to a call.
struct catalog_answer {
    std::uint64_t id = 0;  ///< Of the call.
    catalog_status status = catalog_status::no_answer;
    std::vector<catalog_item>
        items;  ///< List, watch, decode: listed or changed objects. Get, create, replace: the object's current state.
    std::vector<std::string> removed;  ///< Watch: names of removed objects.
    bool more = false;                 ///< List: the list continues after the last item.
    store_revision revision = 0;       ///< Revision of the store.
    std::string problem;       ///< Why the answer could not be read, or which objects it lacks therefore; empty otherwise.
    std::string failure = {};  ///< What the call failed of, such as "Connection refused" or "HTTP status 503"; empty if unknown.

    friend bool operator==(const catalog_answer&, const catalog_answer&) = default;
};

}  // namespace camphorstack
