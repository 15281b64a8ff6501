#pragma once

#include <string>

#include "camphorstack/workspaces/fair_queue.hpp"

namespace camphorstack {

/// A write or commit that the primary ran and that no majority has confirmed yet.
struct unacknowledged_write {
    waiting_request request;
    term_number term = 0;  ///< Term in which the primary ran the write.
    log_position position;
    std::string body;
    endpoint_id served_by;
};

}  // namespace camphorstack
