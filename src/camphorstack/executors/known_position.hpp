#pragma once

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A position of a database's primary that the sender of a message knows.
struct known_position {
    leader_round round = 0;  ///< Round of the leader that named the position.
    log_position position;
    millis age;  ///< At least the time from when the primary was asked until the message was made.

    friend bool operator==(const known_position&, const known_position&) = default;
};

/// A position that a primary named, and when it was asked. The position includes each write acknowledged before `asked`.
struct primary_answer {
    leader_round round = 0;
    log_position position;
    instant asked;

    friend bool operator==(const primary_answer&, const primary_answer&) = default;
};

}  // namespace camphorstack
