#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "camphorstack/catalog/collection_watch.hpp"
#include "camphorstack/contracts/shares.hpp"
#include "camphorstack/coordination/coordination.hpp"
#include "camphorstack/executors/executor.hpp"
#include "camphorstack/hosts/member.hpp"

namespace camphorstack {

struct session_entry_settings {
    millis document_lifetime{3900};  ///< Without evidence this recent, no request with a key is taken. A withdrawn key must stop
                                     ///< working after 5 s, and watches of the store may be deaf for a second.
    millis token_wait{40};           ///< For a loan of tokens; two ways between regions and the lender's turn.
    millis leader_wait{1500};        ///< For a change of leader to end; a promotion takes 300 to 600 ms.
    millis leader_retry_interval{25};     ///< After the leader answered that it does not lead yet.
    millis staleness_margin{30};          ///< Kept from a route's bound for rounding and for the way of the first byte.
    millis sample_refresh_interval{600};  ///< The primary is asked for its position when the newest one known is older.
    millis fresh_write_time{60};          ///< Replicas rarely have a write of this age; the primary is used.
    millis reply_margin{150};             ///< A run at another host is given up this much after its own limits.
    millis cross_region_cost{18};         ///< Round trip between regions, for the choice of an endpoint.
    millis cross_data_centre_cost{2};     ///< Round trip between data centres of a region.
    millis reported_wait_lifetime{500};   ///< What an executor told of its queue counts this long.
    millis idle_session_grace{1500};  ///< A stopping host closes idle sessions from then on; the balancer has left it by then.
    std::size_t max_waiting_statements = 256;  ///< Sent ahead by one caller.

    friend bool operator==(const session_entry_settings&, const session_entry_settings&) = default;
};

/// How each collection is followed, in the order of `collection`.
///
/// The coordinator asks the store often and tells the others in its answers to their reports what is newest. These read a
/// collection when they hear of a newer change, or once their evidence gets old. So a change costs one call of each host, however
/// many follow each other within a report's interval, and a fleet at rest makes no calls but its coordinator's.
using watch_settings_by_collection = std::array<collection_watch_settings, collection_count>;

struct session_host_settings {
    member self;
    std::string nonce;                              ///< Differs at each start.
    std::map<data_centre_id, std::string> regions;  ///< Region of each data centre.
    millis stop_grace{6000};                        ///< From the request to stop until the process is killed.
    int spare_connections = 3;           ///< Of each endpoint's connections, left to hosts that cannot reach its owner.
    std::size_t direct_connections = 1;  ///< To an endpoint that another host owns.
    /// An answer without changes proves what was so when it was asked for, so evidence is at most twice a watch's time old.
    watch_settings_by_collection coordinator_watches{{
        {millis{700}, millis{0}, millis{700}, millis{300}, millis{1700}, millis{300}},
        {millis{1500}, millis{0}, millis{700}, millis{300}, millis{0}, millis{300}},
        {millis{1000}, millis{0}, millis{700}, millis{300}, millis{0}, millis{300}},
        {millis{28000}, millis{700}, millis{700}, millis{200}, millis{0}, millis{200}},
    }};
    /// The limits leave the coordinator's evidence one report's interval. While the store does not answer, the document's calls
    /// find out when it is back, and the other collections wait for them.
    watch_settings_by_collection watches{{
        {millis{0}, millis{0}, millis{700}, millis{300}, millis{2100}, millis{600}},
        {millis{0}, millis{0}, millis{700}, millis{300}, millis{4000}, millis{2400}},
        {millis{0}, millis{0}, millis{700}, millis{300}, millis{3000}, millis{2400}},
        {millis{0}, millis{0}, millis{700}, millis{200}, millis{1500}, millis{2400}},
    }};
    session_entry_settings entry;
    executor_settings executor;
    coordination_settings coordination;
    /// Hosts learn of a member list with their next report, within half a second. One that is cut off may act on the old list
    /// until its evidence ends; what it then has too much, a seventh part of the rate against a sixth, stays within the tenth by
    /// which a limit may be passed.
    share_settings shares{millis{1000}, millis{1100}, 6, 16, millis{0}};

    friend bool operator==(const session_host_settings&, const session_host_settings&) = default;
};

}  // namespace camphorstack
