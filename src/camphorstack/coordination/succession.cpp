#include "camphorstack/coordination/succession.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "camphorstack/hosts/owners.hpp"

namespace camphorstack {

millis takeover_wait(const coordination_settings& settings, std::int64_t position) {
    const auto doublings = std::log2(static_cast<double>(std::max<std::int64_t>(0, position) + 1));
    const auto step = static_cast<double>(settings.takeover_step.count);
    return settings.takeover_after + millis{static_cast<std::int64_t>(step * doublings)};
}

std::vector<host_id> sample_peers(const std::vector<member>& members, const host_id& self, const host_id& coordinator) {
    std::vector<std::pair<double, host_id>> scored;
    for (const auto& host : members) {
        if (host.id != self && host.id != coordinator) {
            scored.emplace_back(-rendezvous_score("peers/" + self, host.id, 1.0), host.id);
        }
    }
    const auto count = std::min(peer_sample_size, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<host_id> sample;
    for (std::size_t i = 0; i < count; ++i) {
        sample.push_back(scored[i].second);
    }
    return sample;
}

}  // namespace camphorstack
