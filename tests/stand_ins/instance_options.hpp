#pragma once

#include <cstddef>
#include <string>

#include "camphorstack/support/clock.hpp"

namespace camphorstack::stand_ins {

/// Limits and delays of an instance, the sizes of docs/design.md by default.
struct instance_options {
    std::string id = "instance";
    std::string listen = "127.0.0.1:0";  ///< "ip:port"; port 0 takes a free one.
    std::size_t slots = 2;               ///< Statements that run at the same time.
    std::size_t connections = 16;        ///< Replication is not counted.
    millis connect_time{12};             ///< Cost of a new connection.
    millis service_time{1};              ///< Time of a statement in a slot.
    millis lag;                          ///< Replicated entries are applied this long after they were read.
    millis pull_interval{3};             ///< Between two questions to the followed primary.

    friend bool operator==(const instance_options&, const instance_options&) = default;
};

}  // namespace camphorstack::stand_ins
