#pragma once

#include <cstdint>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Asks the platform to make an endpoint its database's primary.
struct promotion_call {
    std::uint64_t id = 0;
    database_id database;
    endpoint_id endpoint;
    host_id holder;          ///< The host that is the coordinator.
    fence_number fence = 0;  ///< Fence of the holder's coordinator record.
    millis limit{0};         ///< Time limit for the answer. A successor of the holder sends no call before it has passed.

    friend bool operator==(const promotion_call&, const promotion_call&) = default;
};

enum class promotion_status : std::uint8_t {
    accepted,
    refused,    ///< The endpoint cannot take over, or the platform knows a newer fence.
    not_done,   ///< The platform answered that it did nothing.
    no_answer,  ///< The promotion may have been or may yet be carried out.
};

[[nodiscard]] const char* to_string(promotion_status status);

struct promotion_answer {
    std::uint64_t id = 0;
    promotion_status status = promotion_status::no_answer;

    friend bool operator==(const promotion_answer&, const promotion_answer&) = default;
};

}  // namespace camphorstack
