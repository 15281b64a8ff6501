#pragma once

#include <map>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// What an endpoint says of itself in the platform's store.
struct endpoint_entry {
    endpoint_id id;
    database_id database;
    std::string address;  ///< "ip:port".
    data_centre_id location;
    int slots = 0;            ///< Statements that it runs at the same time.
    bool draining = false;    ///< It will end soon and takes no new work.
    bool is_primary = false;  ///< By its own view.
    millis cold_remaining;    ///< It is slow for this much longer after its start.

    friend bool operator==(const endpoint_entry&, const endpoint_entry&) = default;
};

using endpoint_directory = std::map<endpoint_id, endpoint_entry>;

}  // namespace camphorstack
