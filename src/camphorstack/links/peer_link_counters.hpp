#pragma once

#include <cstdint>

#include "camphorstack/links/link_close_reason.hpp"

namespace camphorstack {

/// How many links ended in which way since the start, and how many were used.
struct peer_link_counters {
    std::uint64_t opened = 0;    ///< Outgoing links that became ready.
    std::uint64_t accepted = 0;  ///< Incoming links that became ready.
    std::uint64_t idle_closed = 0;
    std::uint64_t unreachable = 0;
    std::uint64_t broken = 0;
    std::uint64_t garbage = 0;
    std::uint64_t wrong_secret = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t overflowed = 0;
    std::uint64_t turned_away = 0;  ///< Incoming connections above `max_unauthenticated_links`.
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;  ///< Of the messages' frames; without handshakes and TCP/IP headers.
    std::uint64_t oversized = 0;   ///< Messages that were not sent because they are above the frame limit.

    friend bool operator==(const peer_link_counters&, const peer_link_counters&) = default;
};

/// Counts one link that ended.
void count_link_close(peer_link_counters& counters, link_close_reason cause);

}  // namespace camphorstack
