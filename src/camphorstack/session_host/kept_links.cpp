#include "camphorstack/session_host/kept_links.hpp"

#include <algorithm>

namespace camphorstack {

namespace {

/// Shorter than the time after which an idle link is closed.
constexpr millis keep_interval{25000};
constexpr millis check_interval{100};
/// New links of one check, so that a host does not do all handshakes at once.
constexpr int max_new_links = 8;

}  // namespace

std::set<host_id> hosts_to_keep_linked(const session_host_state& state) {
    std::set<host_id> hosts;
    const auto add = [&](const host_id& id) {
        if (id != state.settings.self.id && hosts.size() < max_kept_links) {
            hosts.insert(id);
        }
    };
    for (const auto& host : state.shares.share_hosts.hosts) {
        add(host.id);
    }
    for (const auto& [endpoint, owner] : state.owners) {
        add(owner);
    }
    return hosts;
}

void kept_links_tick(session_host_state& state, instant now) {
    if (state.stopping || now < state.next_link_check) {
        return;
    }
    state.next_link_check = now + check_interval;
    const auto wanted = hosts_to_keep_linked(state);
    std::erase_if(state.kept_links, [&](const auto& item) { return !wanted.contains(item.first); });
    int opened = 0;
    for (const auto& id : wanted) {
        const auto [kept, is_new] = state.kept_links.try_emplace(id, now);
        if (!is_new && now - kept->second < keep_interval) {
            continue;
        }
        kept->second = now;
        send_peer(state, id, membership_answer{});
        if (++opened >= max_new_links) {
            return;
        }
    }
}

}  // namespace camphorstack
