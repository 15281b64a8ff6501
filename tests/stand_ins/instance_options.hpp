#pragma once

#include <cstddef>
#include <string>

#include "camphorstack/support/clock.hpp"

namespace camphorstack::stand_ins {

/// Limits and delays of an instance. The defaults are the sizes in docs/design.md.
struct instance_options {
    std::string id = "instance";
    std::string listen = "127.0.0.1:0";  ///< "ip:port"; port 0 selects a free port.
    std::size_t slots = 2;               ///< Maximum number of statements that run at the same time.
    std::size_t connections = 16;        ///< Maximum number of connections, replication not counted.
    millis connect_time{12};             ///< Delay before a new connection is accepted.
    millis service_time{1};              ///< Duration of each statement, during which it occupies a slot.
    millis lag;                          ///< Delay between reading entries from the primary and applying them.
    millis pull_interval{3};             ///< Interval between requests for log entries to the followed primary.

    friend bool operator==(const instance_options&, const instance_options&) = default;
};

}  // namespace camphorstack::stand_ins
