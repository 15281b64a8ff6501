#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/catalog/collection_watch.hpp"
#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/coordination/coordination.hpp"
#include "camphorstack/executors/executor.hpp"
#include "camphorstack/session_host/session_host_events.hpp"
#include "camphorstack/session_host/session_host_settings.hpp"
#include "camphorstack/sessions/caller_session.hpp"
#include "camphorstack/sessions/position_samples.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

/// A record of the fleet and the store's revision of it.
template <typename Record>
struct stored_record {
    Record record;
    store_revision revision = 0;
};

/// What the host knows of the platform's store.
struct host_catalog {
    std::array<collection_watch, collection_count> watches;
    std::shared_ptr<const document> content = std::make_shared<const document>();
    std::map<std::string, workspace_id> workspace_by_key;  ///< By the key's SHA-256.
    std::map<std::string, std::size_t> route_by_database;  ///< Index in the document, by the name that callers connect to.
    endpoint_directory endpoints;
    std::set<data_centre_id> evacuated;
    std::optional<stored_record<coordinator_record>> coordinator;
    std::optional<stored_record<members_record>> members;
    std::map<database_id, stored_record<leader_record>> leaders;
    std::map<host_id, stored_record<absence_claim>> claims;
};

/// What an executor told of an endpoint's queue.
struct reported_wait {
    millis wait;
    instant told;
};

/// Operations of one workspace since the host started.
struct operation_counts {
    std::uint64_t done = 0;
    std::map<result_code, std::uint64_t> failed;
};

/// Calls to the store since the host started, for the metrics.
struct store_call_counts {
    std::map<std::pair<collection, catalog_operation>, std::uint64_t> calls;
    std::map<catalog_status, std::uint64_t> answers;
};

/// All state of one session host's decisions.
struct session_host_state {
    session_host_settings settings;
    random_source random;
    std::uint64_t next_call = 1;  ///< Ids of calls to the store and the platform, and of runs and transactions.
    host_catalog catalog;
    std::map<endpoint_id, host_id> owners;
    std::map<endpoint_id, host_id> substitute_owners;  ///< Owners if only the hosts counted that this one reaches.
    share_state shares;
    executor_state executor;
    std::map<session_id, caller_session> sessions;
    std::map<run_id, session_id> runs;                ///< In flight.
    std::map<run_id, database_id> position_requests;  ///< Status runs that ask a primary for its position, in flight.
    std::map<run_id, instant> position_request_times;
    std::map<database_id, position_samples> samples;  ///< Of each primary.
    std::map<database_id, instant> sample_needed_at;  ///< When a read last needed one.
    std::map<endpoint_id, reported_wait> waits;
    std::map<host_id, instant> broken_links;  ///< Peers that cannot be reached, and when they were last tried.
    std::set<session_id> waiting_sessions;    ///< Whose operation waits for tokens or for a leader.
    coordination_state coordination;
    std::map<workspace_id, operation_counts> counts;
    store_call_counts store_calls;
    std::set<std::string> logged_unreadable;  ///< Objects whose content was reported as unreadable.
    bool serving = false;
    bool stopping = false;
    bool stopped = false;
    instant stop_requested_at;
    session_host_actions actions;  ///< Of the current step.
};

[[nodiscard]] inline collection_watch& watch_of(session_host_state& state, collection collection_id) {
    return state.catalog.watches.at(static_cast<std::size_t>(collection_id));
}
[[nodiscard]] inline const collection_watch& watch_of(const session_host_state& state, collection collection_id) {
    return state.catalog.watches.at(static_cast<std::size_t>(collection_id));
}

/// Age of the evidence that a collection is known up to now; nothing before the first.
[[nodiscard]] std::optional<millis> evidence_age(const session_host_state& state, collection collection_id, instant now);

/// Whether callers' requests may be taken: the document is known and recent.
[[nodiscard]] bool may_serve(const session_host_state& state, instant now);

/// Region of a data centre; empty if the settings do not name it.
[[nodiscard]] std::string region_of(const session_host_state& state, const data_centre_id& location);

/// True if the endpoint may receive new reads: it is not leaving, and neither is its data centre.
[[nodiscard]] bool takes_new_work(const session_host_state& state, const endpoint_entry& endpoint);

/// Sends a message to another host of the fleet; false if its address is not known.
bool send_peer(session_host_state& state, const host_id& peer, peer_body body);

void log_decision(session_host_state& state, const char* kind, std::string text, bool is_failure = false);

/// Hands a run to the host that runs it.
void start_run(session_host_state& state, const host_id& host, run_request request, instant now);

/// The host that holds connections to the endpoint, or another one that can be reached.
[[nodiscard]] host_id executor_host(const session_host_state& state, const endpoint_id& endpoint);

}  // namespace camphorstack
