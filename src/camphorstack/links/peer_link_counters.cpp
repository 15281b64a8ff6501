#include "camphorstack/links/peer_link_counters.hpp"

namespace camphorstack {

void count_link_close(peer_link_counters& counters, link_close_reason cause) {
    switch (cause) {
        case link_close_reason::idle:
            ++counters.idle_closed;
            return;
        case link_close_reason::unreachable:
            ++counters.unreachable;
            return;
        case link_close_reason::broken:
            ++counters.broken;
            return;
        case link_close_reason::garbage:
            ++counters.garbage;
            return;
        case link_close_reason::wrong_secret:
            ++counters.wrong_secret;
            return;
        case link_close_reason::timed_out:
            ++counters.timed_out;
            return;
        case link_close_reason::overflow:
            ++counters.overflowed;
            return;
    }
}

}  // namespace camphorstack
