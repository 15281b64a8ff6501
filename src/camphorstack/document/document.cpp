#include "camphorstack/document/document.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

template <typename Item>
const Item* find_by_id(const std::vector<Item>& items, const std::string& id) {
    const auto found = std::ranges::find(items, id, &Item::id);
    return found == items.end() ? nullptr : &*found;
}

}  // namespace

const workspace* find_workspace(const document& content, const workspace_id& id) {
    return find_by_id(content.workspaces, id);
}

const route* find_route(const document& content, const route_id& id) {
    return find_by_id(content.routes, id);
}

const database* find_database(const document& content, const database_id& id) {
    return find_by_id(content.databases, id);
}

bool is_data_centre_in_service(const document& content, const data_centre_id& id) {
    const auto* found = find_by_id(content.data_centres, id);
    return found == nullptr || found->state == admin_state::in;
}

bool may_receive_work(const document& content, const endpoint& candidate) {
    return candidate.state == admin_state::in && is_data_centre_in_service(content, candidate.location);
}

}  // namespace camphorstack
