#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "camphorstack/coordination/coordination.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

/// Number of peers that a host asks when the coordinator does not answer.
constexpr std::size_t peer_sample_size = 16;

/// Returns the time without an answer from the coordinator after which the host at a position in the order of succession takes
/// over. Grows with the logarithm of the position, so that the loss of a large part of the fleet at once hardly delays the
/// takeover. Hosts that try at nearly the same time are told apart by the store, which accepts one of them.
[[nodiscard]] millis takeover_wait(const coordination_settings& settings, std::int64_t position);

/// Returns the peers that a host asks when the coordinator does not answer: all of them in a small fleet, else a sample that
/// differs from host to host, so that the number of messages grows with the fleet and not with its square.
[[nodiscard]] std::vector<host_id> sample_peers(const std::vector<member>& members, const host_id& self,
                                                const host_id& coordinator);

}  // namespace camphorstack
