#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "camphorstack/balancing/endpoint_choice.hpp"
#include "camphorstack/catalog/collection_watch.hpp"
#include "camphorstack/contracts/shares.hpp"
#include "camphorstack/coordination/coordination.hpp"
#include "camphorstack/executors/executor.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/usage/usage_window.hpp"

namespace camphorstack {

/// Time limits and costs for callers' sessions and their operations.
struct session_entry_settings {
    /// No request with a key is accepted if the document's evidence is older. A withdrawn key must stop working after 5 s.
    millis document_lifetime{4900};
    /// Nobody is refused for good on a document whose evidence is older: by then a newer version may have to be in force.
    millis refusal_lifetime{2940};
    /// Time limit for a loan of tokens from another host: a round trip between regions and the lender's processing time.
    millis token_wait{40};
    /// Time limit for a change of leader to finish; a promotion takes 300 to 600 ms.
    millis leader_wait{1500};
    /// Delay before the next attempt after an endpoint answered that it is not the leader yet.
    millis leader_retry_interval{25};
    /// Subtracted from a route's staleness bound, for rounding and for the transfer time of the answer's first byte.
    millis staleness_margin{30};
    /// The primary's position is requested if the newest known one is older.
    millis sample_refresh_interval{600};
    /// Reads use the primary for this long after the session's own write, as replicas rarely have the write earlier.
    millis fresh_write_time{60};
    /// A run at another host counts as lost this long after the run's own time limits.
    millis reply_margin{150};
    /// Round trip between regions, for the choice of an endpoint.
    millis cross_region_cost{18};
    /// Round trip between data centres of one region, for the choice of an endpoint.
    millis cross_data_centre_cost{2};
    choice_settings choice;  ///< Weights of the evidence for the choice of an endpoint.
    /// A host that shuts down closes its idle sessions after this time; the load balancer no longer sends callers by then.
    millis idle_session_grace{1500};
    /// Idle sessions are closed only this soon after a report was sent that another host has answered: what was sent to this host
    /// earlier than that, and the time of a path between regions, has arrived.
    millis close_window{150};
    /// Values and prepared shapes of one session, in bytes: four messages of the largest size.
    std::size_t session_state_limit = std::size_t{4} * 1024 * 1024;
    /// Values and prepared shapes of all sessions, in bytes. The session with the most is closed above it.
    std::size_t all_session_state_limit = std::size_t{120} * 1024 * 1024;
    /// Limit on the statements that one caller may pipeline.
    std::size_t max_waiting_statements = 256;

    friend bool operator==(const session_entry_settings&, const session_entry_settings&) = default;
};

/// Watch settings of each collection, in the order of `collection`.
///
/// The coordinator polls the store often and includes the newest revisions that it knows in its answers to the other hosts'
/// reports. The other hosts list a collection when they learn of a newer change, or when their evidence gets old. So all changes
/// within one report interval cost one call of each host, and in a fleet without changes only the coordinator calls the store.
using watch_settings_by_collection = std::array<collection_watch_settings, collection_count>;

struct session_host_settings {
    member self;
    std::string nonce;                              ///< Identifies the process; differs at each start.
    std::map<data_centre_id, std::string> regions;  ///< Region of each data centre.
    millis stop_grace{6000};                        ///< Time from the request to stop until the process is killed.
    int spare_connections = 3;           ///< Of each endpoint; kept free by its owner for hosts that cannot reach the owner.
    std::size_t direct_connections = 1;  ///< Limit on this host's connections to an endpoint that another host owns.
    /// Used while this host is the coordinator. An answer to a watch proves the state `watch_blind_time` before the request, so
    /// the evidence is at most twice `watch_time` and `watch_blind_time` old.
    watch_settings_by_collection coordinator_watches{{
        {millis{700}, millis{0}, millis{700}, millis{300}, millis{2700}, millis{300}, millis{2500}},
        {millis{1500}, millis{0}, millis{700}, millis{300}, millis{0}, millis{300}, millis{2500}},
        {millis{1000}, millis{0}, millis{700}, millis{300}, millis{0}, millis{300}, millis{2500}},
        {millis{28000}, millis{700}, millis{700}, millis{200}, millis{0}, millis{200}},
    }};
    /// Used while another host is the coordinator. `max_evidence_age` exceeds the age of the coordinator's evidence by at least
    /// one report interval. While the store does not answer, the calls for the document detect when it answers again, and the
    /// other collections wait for them.
    watch_settings_by_collection watches{{
        {millis{0}, millis{0}, millis{700}, millis{300}, millis{3100}, millis{600}, millis{2500}},
        {millis{0}, millis{0}, millis{700}, millis{300}, millis{5000}, millis{2400}, millis{2500}},
        {millis{0}, millis{0}, millis{700}, millis{300}, millis{4000}, millis{2400}, millis{2500}},
        {millis{0}, millis{0}, millis{700}, millis{200}, millis{1500}, millis{2400}},
    }};
    session_entry_settings entry;
    executor_settings executor;
    coordination_settings coordination;
    usage_settings usage;
    /// Hosts learn of a new member list with their next report, within half a second, so a former holder's share ends before its
    /// successor's begins. A disconnected host may use the old list until its evidence expires.
    share_settings shares{millis{1000}, millis{1100}, 6, 16, millis{0}, 6, millis{600}};

    friend bool operator==(const session_host_settings&, const session_host_settings&) = default;
};

}  // namespace camphorstack
