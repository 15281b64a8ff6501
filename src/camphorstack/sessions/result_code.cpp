#include "camphorstack/sessions/result_code.hpp"

namespace camphorstack {

const char* to_string(result_code code) {
    switch (code) {
        case result_code::none:
            return "none";
        case result_code::busy:
            return "busy";
        case result_code::lagging:
            return "lagging";
        case result_code::read_only:
            return "read_only";
        case result_code::misrouted:
            return "misrouted";
        case result_code::too_many:
            return "too_many";
        case result_code::no_statement:
            return "no_statement";
        case result_code::failed:
            return "failed";
        case result_code::timeout:
            return "timeout";
        case result_code::in_doubt:
            return "in_doubt";
        case result_code::aborted:
            return "aborted";
        case result_code::not_authorized:
            return "not_authorized";
        case result_code::no_database:
            return "no_database";
        case result_code::too_large:
            return "too_large";
        case result_code::malformed:
            return "malformed";
    }
    return "?";
}

}  // namespace camphorstack
