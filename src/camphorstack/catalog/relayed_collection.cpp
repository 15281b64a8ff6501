#include "camphorstack/catalog/relayed_collection.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorstack {

namespace {

/// Number of removals that are remembered. A host that knows fewer changes receives the whole collection.
constexpr std::size_t max_removals = 256;

void record_removal(relayed_collection& copy, const std::string& name, store_revision revision) {
    copy.objects.erase(name);
    copy.removals.push_back({revision, name});
    if (copy.removals.size() > max_removals) {
        copy.removals_since = std::max(copy.removals_since, copy.removals.front().revision);
        copy.removals.pop_front();
    }
}

std::size_t text_size(const collection_changes& changes) {
    std::size_t size = 0;
    for (const auto& item : changes.items) {
        size += item.name.size() + item.text.size();
    }
    for (const auto& name : changes.removed) {
        size += name.size();
    }
    return size;
}

}  // namespace

void record_update(relayed_collection& copy, const collection_update& update, store_revision revision) {
    if (update.complete && !copy.has_copy) {
        // Removals before the first list are not known.
        copy.has_copy = true;
        copy.removals_since = revision;
    }
    if (update.complete) {
        std::set<std::string> present;
        for (const auto& item : update.items) {
            present.insert(item.name);
        }
        std::vector<std::string> absent;
        for (const auto& [name, item] : copy.objects) {
            if (!present.contains(name)) {
                absent.push_back(name);
            }
        }
        for (const auto& name : absent) {
            record_removal(copy, name, revision);
        }
    }
    for (const auto& item : update.items) {
        auto& known = copy.objects[item.name];
        if (known.revision <= item.revision) {
            known = {item.name, item.revision, item.source};
        }
    }
    for (const auto& name : update.removed) {
        record_removal(copy, name, revision);
    }
}

std::optional<collection_changes> changes_after(const relayed_collection& copy, store_revision known, std::size_t max_bytes) {
    const auto lacks_text = [](const auto& entry) { return entry.second.text.empty(); };
    if (!copy.has_copy || std::ranges::any_of(copy.objects, lacks_text)) {
        return std::nullopt;
    }
    collection_changes changes;
    changes.complete = known < copy.removals_since;
    for (const auto& [name, item] : copy.objects) {
        if (changes.complete || item.revision > known) {
            changes.items.push_back(item);
        }
    }
    if (!changes.complete) {
        std::set<std::string> removed;
        for (const auto& removal : copy.removals) {
            if (removal.revision > known && !copy.objects.contains(removal.name)) {
                removed.insert(removal.name);
            }
        }
        changes.removed.assign(removed.begin(), removed.end());
    }
    return text_size(changes) <= max_bytes ? std::optional(std::move(changes)) : std::nullopt;
}

}  // namespace camphorstack
