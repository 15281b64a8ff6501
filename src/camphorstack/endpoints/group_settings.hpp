#pragma once

#include <cstddef>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Limits and intervals of a database group's owner.
struct group_settings {
    millis probe_interval{100};         ///< Between status polls of one instance.
    millis suspect_after{350};          ///< Without an answer from the primary before it is replaced.
    millis statement_timeout{2000};     ///< Until a connection with an unanswered statement is closed.
    millis connect_timeout{500};        ///< Until an attempt to connect is given up.
    millis replica_wait{8};             ///< A read waits this long for a replica at the session's position.
    millis idle_proof_after{1000};      ///< A connection silent for longer is proved by a status call before use.
    millis transaction_lifetime{5000};  ///< A transaction open for longer is rolled back.
    millis fence_timeout{300};          ///< Until a fence or promote call is tried again.
    std::size_t queue_limit = 256;      ///< Waiting requests of one workspace.

    friend bool operator==(const group_settings&, const group_settings&) = default;
};

}  // namespace camphorstack
