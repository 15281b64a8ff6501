#include "camphorstack/links/link_close_reason.hpp"

namespace camphorstack {

const char* to_string(link_close_reason cause) {
    switch (cause) {
        case link_close_reason::idle:
            return "idle";
        case link_close_reason::unreachable:
            return "unreachable";
        case link_close_reason::broken:
            return "broken";
        case link_close_reason::garbage:
            return "garbage";
        case link_close_reason::wrong_secret:
            return "wrong_secret";
        case link_close_reason::timed_out:
            return "timed_out";
        case link_close_reason::overflow:
            return "overflow";
    }
    return "broken";
}

}  // namespace camphorstack
