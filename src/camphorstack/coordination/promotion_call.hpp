#pragma once

#include <cstdint>

#include "camphorstack/catalog/fleet_record.hpp"

namespace camphorstack {

/// Asks the platform to make an endpoint its database's primary.
struct promotion_call {
    std::uint64_t id = 0;
    database_id database;
    endpoint_id endpoint;
    host_id holder;          ///< Of the coordinator's duty.
    fence_number fence = 0;  ///< Of the holder.

    friend bool operator==(const promotion_call&, const promotion_call&) = default;
};

enum class promotion_status : std::uint8_t {
    accepted,
    refused,    ///< The endpoint cannot take over, or another fence is newer.
    not_done,   ///< The platform answered that it did nothing.
    no_answer,  ///< It may have been or may yet be carried out.
};

[[nodiscard]] const char* to_string(promotion_status status);

struct promotion_answer {
    std::uint64_t id = 0;
    promotion_status status = promotion_status::no_answer;

    friend bool operator==(const promotion_answer&, const promotion_answer&) = default;
};

}  // namespace camphorstack
