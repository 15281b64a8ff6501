#pragma once

#include <string>

#include "camphorstack/endpoints/group_step.hpp"

namespace camphorstack {

/// What a request that ran answers.
struct request_result {
    std::string body;
    log_position session;
    std::string transaction;
    endpoint_id served_by;
};

void reply_done(group_step& step, const waiting_request& item, request_result result);

/// Replies `unknown` if the request was ever written to a connection and may have run, otherwise `not_run`.
void reply_failed(group_step& step, const waiting_request& item, refusal reason, const std::string& text = "");

}  // namespace camphorstack
