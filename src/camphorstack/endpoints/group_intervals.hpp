#pragma once

#include <cstddef>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// A connection with a status call that is not answered within this time is closed and replaced. Less than half of the time
/// after which a silent primary is replaced, so that a single silent connection does not cause a promotion.
constexpr millis status_call_timeout{150};

/// Time between status polls while no primary is known; short enough to find a new primary within a few round trips.
constexpr millis primary_search_interval{20};

/// Time between status polls while writes wait for a majority or reads for a position, and while a switchover holds writes.
/// Bounds the polls on links with a round trip far below a millisecond.
constexpr millis fast_poll_interval{1};

/// A standby polls this many times less often than an owner.
constexpr std::int64_t standby_poll_factor = 5;

/// Number of connections for statements that an owner keeps open and validated at each instance.
constexpr std::size_t warm_connections = 2;

/// An owner closes connections beyond `warm_connections` that carried no request for this long.
constexpr millis owner_idle_time{10000};

/// A host that is not owner closes connections that carried no request for this long, as the owner needs them.
constexpr millis non_owner_idle_time{500};

/// Connections to an endpoint that is leaving or down are closed if they carried no request for this long.
constexpr millis leaving_idle_time{50};

/// A host without a duty stops polling this long after its last request.
constexpr millis on_demand_poll_time{1000};

/// A replica whose data is older than this serves only reads that accept that age, and is no successor for a switchover.
constexpr millis replica_age_limit{1000};

/// A read that finds all suitable replicas busy may use the primary after this many times `replica_wait`.
constexpr std::int64_t primary_read_wait_factor = 10;

/// No statement is sent to an instance for this long after it refused work as busy.
constexpr millis busy_backoff{5};

/// No connection for statements is opened for this long after one was refused, so that an instance at its connection limit is
/// not asked again at every event.
constexpr millis refused_connect_backoff{50};

/// Number of terms kept in reserve, so that two consecutive changes of primary work while the platform does not answer.
constexpr std::size_t reserved_terms = 2;

/// If the platform does not answer a request for a term within this time, another request is sent.
constexpr millis reserve_timeout{1000};

/// Time between a failed attempt to reserve a term and the next attempt.
constexpr millis reserve_retry_interval{200};

/// Writes outside of transactions continue at a leaving primary for this long while its transactions finish. Later writes wait
/// for the next primary, as a leaving endpoint must receive no new work after 3 s.
constexpr millis leaving_write_time{2000};

/// A planned switchover is postponed if its successor does not catch up within this time while writes are held.
constexpr millis switchover_catch_up_timeout{1500};

/// Time between a postponed planned switchover and the next attempt.
constexpr millis switchover_backoff{1000};

/// Shortest time between an abandoned promotion and the next one, and the range in ms of the time that is added for each
/// consecutive failure. The added time depends on the term, which differs between hosts, so that two hosts whose promotions
/// collided do not collide again.
constexpr millis promotion_backoff{50};
constexpr std::int64_t promotion_backoff_spread = 200;

/// A chosen instance that does not answer the promote call within this many fence timeouts is abandoned together with the term.
constexpr std::int64_t promote_attempts = 2;

}  // namespace camphorstack
