#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"

namespace camphorstack::session_tests {

/// In-memory model of the platform's store: collections of objects with revisions, watches and a history of changes.
class store_model {
public:
    using answer_handler = std::function<void(const catalog_answer&)>;

    /// Carries out a call. Answers at once, except for a watch: it is answered by the next change of its collection or, after its
    /// wait, by `answer_expired_watches`.
    void call(const catalog_call& requested, instant now, answer_handler done);
    /// Answers the watches whose wait has ended.
    void answer_expired_watches(instant now);

    /// Answers a decode call, as a host's adapter does without the store.
    [[nodiscard]] catalog_answer decode(const catalog_call& requested) const;

    /// Writes an object. Does nothing if the content is unchanged.
    void put(collection collection_id, const std::string& name, catalog_content content);
    void remove(collection collection_id, const std::string& name);
    /// Drops the history. Watches from an earlier revision are answered with `catalog_status::history_gone`.
    void compact();

    std::map<std::string, catalog_item>& objects(collection collection_id) { return this->collections[collection_id]; }
    std::size_t calls = 0;  ///< Number of calls so far.
    /// Watches hear of no change: they are answered without one after their wait, until `compact` cuts them off.
    bool watches_are_deaf = false;

private:
    struct change {
        collection collection_id = collection::document;
        store_revision revision = 0;
        std::string name;
        bool removed = false;
        catalog_item item;
    };
    struct waiting_watch {
        catalog_call requested;
        instant until;
        answer_handler done;
    };

    bool answer_watch(const catalog_call& requested, const answer_handler& done);
    void answer_changed_watches();
    void record_change(collection collection_id, const std::string& name, bool removed, const catalog_item& item);

    store_revision revision = 1;
    store_revision oldest = 1;
    std::map<collection, std::map<std::string, catalog_item>> collections;
    std::map<std::string, catalog_item> written;  ///< Every state of an object, by its source.
    std::vector<change> history;
    std::vector<waiting_watch> waiting;
};

}  // namespace camphorstack::session_tests
