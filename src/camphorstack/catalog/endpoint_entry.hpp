#pragma once

#include <map>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Entry that an endpoint writes about itself to the platform's store.
struct endpoint_entry {
    endpoint_id id;
    database_id database;
    std::string address;  ///< "ip:port".
    data_centre_id location;
    int slots = 0;            ///< Number of statements that the endpoint runs at the same time.
    bool draining = false;    ///< The endpoint will shut down soon and must get no new work.
    bool is_primary = false;  ///< The endpoint regards itself as the primary.
    millis cold_remaining;    ///< Remaining time for which the endpoint is slow after its start.

    friend bool operator==(const endpoint_entry&, const endpoint_entry&) = default;
};

/// Entries of all endpoints, by endpoint id.
using endpoint_directory = std::map<endpoint_id, endpoint_entry>;

}  // namespace camphorstack
