#include "camphorstack/links/link_end.hpp"

namespace camphorstack {

const char* to_string(link_end cause) {
    switch (cause) {
        case link_end::idle:
            return "idle";
        case link_end::unreachable:
            return "unreachable";
        case link_end::broken:
            return "broken";
        case link_end::garbage:
            return "garbage";
        case link_end::wrong_secret:
            return "wrong_secret";
        case link_end::timed_out:
            return "timed_out";
        case link_end::overflow:
            return "overflow";
    }
    return "broken";
}

}  // namespace camphorstack
