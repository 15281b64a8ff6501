#include "session_fleet/store_model.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack::session_tests {

void store_model::call(const catalog_call& requested, instant now, answer_handler done) {
    ++this->calls;
    catalog_answer answer;
    answer.id = requested.id;
    answer.status = catalog_status::done;
    answer.revision = this->revision;
    auto& items = this->collections[requested.collection_id];
    const auto found = items.find(requested.name);
    switch (requested.operation) {
        case catalog_operation::list:
            for (const auto& [name, item] : items) {
                answer.items.push_back(item);
            }
            done(answer);
            return;
        case catalog_operation::watch:
            if (!this->answer_watch(requested, done)) {
                this->waiting.push_back({requested, now + requested.wait, std::move(done)});
            }
            return;
        case catalog_operation::create:
        case catalog_operation::replace: {
            const auto current_revision = found == items.end() ? 0 : found->second.revision;
            if (current_revision != requested.revision) {
                answer.status = found == items.end() ? catalog_status::missing : catalog_status::conflict;
                if (found != items.end()) {
                    answer.items.push_back(found->second);
                }
            } else {
                this->put(requested.collection_id, requested.name, fleet_item{requested.text});
                answer.items.push_back(items.at(requested.name));
            }
            done(answer);
            return;
        }
        case catalog_operation::get:
            answer.status = found == items.end() ? catalog_status::missing : catalog_status::done;
            if (found != items.end()) {
                answer.items.push_back(found->second);
            }
            done(answer);
            return;
        case catalog_operation::decode:
            return;
    }
}

catalog_answer store_model::decode(const catalog_call& requested) const {
    catalog_answer answer;
    answer.id = requested.id;
    answer.status = catalog_status::done;
    for (const auto& source : requested.sources) {
        answer.items.push_back(this->written.at(source));
    }
    return answer;
}

bool store_model::answer_watch(const catalog_call& requested, const answer_handler& done) {
    catalog_answer answer;
    answer.id = requested.id;
    answer.revision = this->revision;
    if (requested.revision < this->oldest) {
        answer.status = catalog_status::history_gone;
        done(answer);
        return true;
    }
    answer.status = catalog_status::done;
    for (const auto& event : this->history) {
        if (event.collection_id != requested.collection_id || event.revision <= requested.revision) {
            continue;
        }
        std::erase_if(answer.items, [&](const catalog_item& earlier) { return earlier.name == event.name; });
        std::erase(answer.removed, event.name);
        if (event.removed) {
            answer.removed.push_back(event.name);
        } else {
            answer.items.push_back(event.item);
        }
    }
    if (this->watches_are_deaf || (answer.items.empty() && answer.removed.empty())) {
        return false;
    }
    done(answer);
    return true;
}

void store_model::answer_expired_watches(instant now) {
    auto open = std::exchange(this->waiting, {});
    for (auto& watch : open) {
        if (now < watch.until) {
            this->waiting.push_back(std::move(watch));
            continue;
        }
        catalog_answer answer;
        answer.id = watch.requested.id;
        answer.status = catalog_status::done;
        answer.revision = this->revision;
        watch.done(answer);
    }
}

void store_model::answer_changed_watches() {
    auto open = std::exchange(this->waiting, {});
    for (auto& watch : open) {
        if (!this->answer_watch(watch.requested, watch.done)) {
            this->waiting.push_back(std::move(watch));
        }
    }
}

void store_model::record_change(collection collection_id, const std::string& name, bool removed, const catalog_item& item) {
    this->history.push_back({collection_id, this->revision, name, removed, item});
    this->answer_changed_watches();
}

void store_model::put(collection collection_id, const std::string& name, catalog_content content) {
    auto& item = this->collections[collection_id][name];
    if (item.revision != 0 && item.content == content) {
        return;
    }
    item.name = name;
    item.revision = ++this->revision;
    item.content = std::move(content);
    item.source = name + "@" + std::to_string(item.revision);
    this->written[item.source] = item;
    const auto copy = item;
    this->record_change(collection_id, name, false, copy);
}

void store_model::remove(collection collection_id, const std::string& name) {
    if (this->collections[collection_id].erase(name) != 0) {
        ++this->revision;
        this->record_change(collection_id, name, true, {});
    }
}

void store_model::compact() {
    this->watches_are_deaf = false;
    this->history.clear();
    this->oldest = this->revision;
    this->answer_changed_watches();
}

}  // namespace camphorstack::session_tests
