#pragma once

#include <cstddef>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Limits and intervals of a database group's owner.
struct group_settings {
    millis probe_interval{100};         ///< Time between status polls of one instance.
    millis suspect_after{350};          ///< A primary without an answer for this long is replaced.
    millis statement_timeout{2000};     ///< A connection with a statement unanswered for this long is closed.
    millis connect_timeout{500};        ///< Time limit for an attempt to connect.
    millis replica_wait{8};             ///< A read waits this long for a replica at the session's position.
    millis idle_proof_after{1000};      ///< A connection silent for longer is validated by a status call before use.
    millis transaction_lifetime{5000};  ///< A transaction that is open for this long is rolled back.
    millis fence_timeout{300};          ///< A fence or promote call unanswered for this long is tried again.
    std::size_t queue_limit = 256;      ///< Maximum number of waiting requests of one workspace.

    friend bool operator==(const group_settings&, const group_settings&) = default;
};

}  // namespace camphorstack
