#include "camphorstack/hosts/request.hpp"

namespace camphorstack {

const char* to_string(request_outcome outcome) {
    switch (outcome) {
        case request_outcome::done:
            return "done";
        case request_outcome::not_run:
            return "not_run";
        case request_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

const char* to_string(refusal reason) {
    switch (reason) {
        case refusal::none:
            return "none";
        case refusal::bad_request:
            return "bad_request";
        case refusal::bad_key:
            return "bad_key";
        case refusal::bad_token:
            return "bad_token";
        case refusal::not_routed:
            return "not_routed";
        case refusal::over_rate:
            return "over_rate";
        case refusal::queue_full:
            return "queue_full";
        case refusal::no_recent_document:
            return "no_recent_document";
        case refusal::host_leaving:
            return "host_leaving";
        case refusal::owner_unreachable:
            return "owner_unreachable";
        case refusal::no_primary:
            return "no_primary";
        case refusal::deadline:
            return "deadline";
        case refusal::connection_lost:
            return "connection_lost";
        case refusal::statement_refused:
            return "statement_refused";
        case refusal::transaction_lost:
            return "transaction_lost";
    }
    return "none";
}

const char* to_string(request_kind kind) {
    switch (kind) {
        case request_kind::read:
            return "read";
        case request_kind::write:
            return "write";
        case request_kind::begin:
            return "begin";
        case request_kind::statement:
            return "statement";
        case request_kind::commit:
            return "commit";
        case request_kind::rollback:
            return "rollback";
    }
    return "read";
}

}  // namespace camphorstack
