#pragma once

#include <cstddef>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Without an answer to a status call for this long the connection is replaced. Less than half of the time after which a
/// primary is replaced, so that a single silent connection does not cost a promotion.
constexpr millis status_call_timeout{150};

/// Between status polls while no primary is known, so that a new one is found within a few round trips.
constexpr millis primary_search_interval{20};

/// Between status polls while writes wait for a majority or reads for a position. Bounds the polls on links with a round trip
/// far below a millisecond.
constexpr millis fast_poll_interval{1};

/// A standby polls this many times less often than an owner.
constexpr std::int64_t standby_poll_factor = 5;

/// Connections for statements that an owner keeps open and proved at each instance.
constexpr std::size_t warm_connections = 2;

/// An owner closes further connections that carried no request for this long.
constexpr millis owner_idle_time{10000};

/// A host that is no longer owner closes idle connections after this, as the new owner needs them.
constexpr millis non_owner_idle_time{500};

/// Idle connections to an endpoint that is leaving or down are closed after this.
constexpr millis leaving_idle_time{50};

/// A host without a duty stops polling this long after its last request.
constexpr millis on_demand_poll_time{1000};

/// Replicas whose data is older serve only reads that accept the age.
constexpr millis replica_age_limit{1000};

/// A read that finds all suitable replicas busy for this many times `replica_wait` may use the primary.
constexpr std::int64_t primary_read_wait_factor = 10;

/// An instance that refused work as busy gets no statement for this long.
constexpr millis busy_backoff{5};

/// After a refused connection for statements: a full instance is not asked again at every event.
constexpr millis refused_connect_backoff{50};

/// Terms kept in reserve, so that two changes of primary in a row work while the platform does not answer.
constexpr std::size_t reserved_terms = 2;

/// A missing answer of the platform about a reserved term is given up after this.
constexpr millis reserve_timeout{1000};

/// Between a failed attempt to reserve a term and the next.
constexpr millis reserve_retry_interval{200};

/// Plain writes go on at a leaving primary for this long while its transactions finish; later they wait for its successor, as
/// a leaving endpoint must receive no new work after 3 s.
constexpr millis leaving_write_time{2000};

/// A planned switchover whose successor does not catch up within this time while writes wait is put off.
constexpr millis switchover_catch_up_timeout{1500};

/// Pause after a planned switchover that was put off.
constexpr millis switchover_backoff{1000};

/// Smallest and largest pause after a promotion that another host's higher term ended. The pause depends on the term, which
/// differs between hosts, so two hosts do not repeat their collision.
constexpr millis promotion_backoff{50};
constexpr std::int64_t promotion_backoff_spread = 200;

/// Fence timeouts after which a chosen instance that does not answer the promote call is given up together with the term.
constexpr std::int64_t promote_attempts = 2;

}  // namespace camphorstack
