#include "camphorstack/links/peer_link_counters.hpp"

namespace camphorstack {

void count_link_end(peer_link_counters& counters, link_end cause) {
    switch (cause) {
        case link_end::idle:
            ++counters.idle_closed;
            return;
        case link_end::unreachable:
            ++counters.unreachable;
            return;
        case link_end::broken:
            ++counters.broken;
            return;
        case link_end::garbage:
            ++counters.garbage;
            return;
        case link_end::wrong_secret:
            ++counters.wrong_secret;
            return;
        case link_end::timed_out:
            ++counters.timed_out;
            return;
        case link_end::overflow:
            ++counters.overflowed;
            return;
    }
}

}  // namespace camphorstack
