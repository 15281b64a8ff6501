#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"

namespace camphorstack::session_tests {

/// The platform's store by its product types: objects with revisions, watches and history.
class store_model {
public:
    using finished = std::function<void(const catalog_answer&)>;

    /// Answers at once, or for a watch when something changes or `expire` is called with its time.
    void call(const catalog_call& wanted, instant now, finished done);
    /// Answers the watches whose wait is over.
    void expire(instant now);

    void put(collection collection_id, const std::string& name, catalog_content content);
    void remove(collection collection_id, const std::string& name);
    /// Forgets all changes so far; watches from before are told that they are gone.
    void compact();

    std::map<std::string, catalog_item>& objects(collection collection_id) { return this->kinds[collection_id]; }
    std::size_t calls = 0;

private:
    struct change {
        collection collection_id = collection::document;
        store_revision revision = 0;
        std::string name;
        bool removed = false;
        catalog_item item;
    };
    struct waiting_watch {
        catalog_call wanted;
        instant until;
        finished done;
    };

    bool answer_watch(const catalog_call& wanted, const finished& done);
    void wake();
    void note(collection collection_id, const std::string& name, bool removed, const catalog_item& item);

    store_revision revision = 1;
    store_revision oldest = 1;
    std::map<collection, std::map<std::string, catalog_item>> kinds;
    std::vector<change> history;
    std::vector<waiting_watch> waiting;
};

}  // namespace camphorstack::session_tests
